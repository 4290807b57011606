"""The choice of a target for each request: state of the targets, their limits and the routes."""
