"""The data plane forwards client requests to backends. It imports no other plane: its state is passed in."""
