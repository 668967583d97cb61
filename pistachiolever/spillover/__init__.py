"""The price of serving a request in another failure domain."""
