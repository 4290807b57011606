"""Decisions without I/O: no sockets, files, clocks or threads; time comes in as an argument.

Shared by all: `errors`, `settings`, `placement`, `retry` and `invariant`.  The rest by what it
decides:

- `steering`: what operators write, and the routing that follows from it
- `targets`: the gateway's choice of a target
- `hall`: the present entry's slots, links and targets
- `orders`: requests that run at most once
- `explaining`: what became of a request and why
"""
