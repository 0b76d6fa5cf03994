"""Open-loop load on a server of one's own: requests go when they are due, whether or not earlier ones were answered.

A generator that waits for replies sends less while the server stands still, and so hides the delays that cost most
(coordinated omission). This one keeps to its schedule, counts latencies from the due times, and reports by how much it
was late itself: a run whose generator was late is no measurement.
"""
