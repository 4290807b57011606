"""Thrift between entries: the committed IDL, a server and a client."""
