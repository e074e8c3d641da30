"""Fleet membership: SWIM failure detection with Lifeguard's refinements, as a core without clock or socket.

`member.Member` is one process's part: `handle(now_us, event)` returns the actions to carry out.
`transport.UdpTransport` gives it a UDP socket and a timer. Nothing here knows of requests.

Sources: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (2002); A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
Detection" (2018); A. Demers et al., "Epidemic Algorithms for Replicated Database Maintenance" (1987).
"""
