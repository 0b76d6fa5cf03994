"""TLS certificates: pairs by host name from a directory, reloaded in service, and a local authority for trials."""
