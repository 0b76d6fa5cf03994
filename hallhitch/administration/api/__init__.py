"""The administration API: HTTP/1.1 over TLS on Litestar and uvicorn. The catalog's rules are in `hallhitch.catalog`."""
