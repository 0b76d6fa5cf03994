"""The data plane: a client's request from socket to backend and back. It must not know where its knowledge came from."""
