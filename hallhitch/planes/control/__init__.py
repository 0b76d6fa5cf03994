"""The control plane: the cluster state, replicated by CASPaxos over the disks of the coordinators.

`plane` is what a program uses, `operator_api` what an operator calls. Decisions stand apart from I/O: those of the
consensus in `ballot`, `membership`, `acceptor_state`, `vote_tally`, `proposal` and `recovery_quorum`, those on members
in `membership_policy`.
"""
