"""A sidecar load balancer on real sockets; `garnetusher.policy` makes its decisions."""
