"""The cluster configuration: one register over a quorum of disks, its files, its replicas, and the calls of
operators."""
