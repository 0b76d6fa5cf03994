"""Open-loop load on a local server: each request is sent when it is due, whether or not earlier ones were answered.

A generator that waits for replies sends fewer requests while the server stalls, and so hides the longest delays
(coordinated omission). This generator keeps to its schedule, measures latencies from the due times, and reports its own
send delays: a run whose generator was late is not valid.
"""
