"""The control plane: the cluster state, replicated by CASPaxos over the disks of the coordinators.

Programs use `plane`; operators call `operator_api`. Decisions are separate from I/O: `ballot`, `membership`,
`acceptor_state`, `vote_tally`, `proposal` and `recovery_quorum` decide for the consensus, `membership_policy` decides
which coordinators are members.
"""
