"""The RESP front: a limit server, and a counter that speaks RESP."""
