"""Stand-ins for the platform, the store and targets, for the demo, tests and benchmarks only."""
