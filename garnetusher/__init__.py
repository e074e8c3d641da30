"""garnetusher: a sidecar load balancer, a lab that injects faults into a fleet of sidecars, and their command line."""
