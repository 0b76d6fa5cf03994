"""Administration of the hosted service: the catalog's store, its one writer, the HTTP API. No live traffic."""
