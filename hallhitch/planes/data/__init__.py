"""The data plane: a client's request from socket to backend and back; it knows not where its knowledge came from."""
