"""The administration API: HTTP/1.1 over TLS on Litestar and uvicorn. It decides nothing about the catalog."""
