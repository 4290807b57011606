"""Stand-ins for the platform and for targets: for the demo, tests and benchmarks only."""
