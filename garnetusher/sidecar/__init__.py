"""A sidecar balancer on real sockets; its decisions are made in `garnetusher.policy`."""
