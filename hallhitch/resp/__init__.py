"""RESP2: a server that decides on limits, and the client-side codec for a quota counter that speaks RESP."""
