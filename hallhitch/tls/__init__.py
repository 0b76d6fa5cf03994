"""Certificates and keys: by host name from a folder, reloaded in service; a local authority for trials."""
