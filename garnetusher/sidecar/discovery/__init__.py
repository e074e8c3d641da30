"""The endpoint list: how it is received from discovery, watched for changes, and made known to the policy."""
