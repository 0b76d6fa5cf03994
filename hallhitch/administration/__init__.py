"""The control plane: the store of the catalogue, the one writer, the administration API. No live traffic."""
