"""Fleet membership with SWIM failure detection and Lifeguard's refinements; the protocol code performs no I/O.

`member.Member` implements the protocol for one process: `handle(now_us, event)` returns the actions to carry out.
`transport.UdpTransport` connects it to a UDP socket and a timer. This package does not depend on request handling.

Sources: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (2002); A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
Detection" (2018); A. Demers et al., "Epidemic Algorithms for Replicated Database Maintenance" (1987).
"""
