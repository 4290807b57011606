"""Decisions without I/O: no sockets, files, clocks or threads; times are passed as arguments.

All packages share `errors`, `settings`, `placement`, `retry` and `invariant`.  The packages are:

- `steering`: the operators' configuration, and the routing derived from it
- `targets`: the gateway's choice of a target
- `teams`: keys, home regions and quotas of teams
- `quarantine`: blocking of requests that crash targets
- `hall`: slots, links, targets and entries of the entry's own hall
- `orders`: requests that run at most once
- `explaining`: reports on requests from log lines and decision records
"""
