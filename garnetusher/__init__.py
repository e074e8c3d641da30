"""garnetusher: a sidecar fleet, the laboratory that breaks it, and the command that runs both."""
