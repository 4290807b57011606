"""Quarantine of requests that crash targets: identify equal requests, count crashes, block them."""
