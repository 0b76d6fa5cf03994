"""The data plane: client requests from listener to backend and back. It imports no other plane: state is passed in."""
