"""The balancing policy of the sidecar for service-to-service calls."""
