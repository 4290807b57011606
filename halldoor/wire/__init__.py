"""Thrift protocol between entries: the IDL file, a server and a client."""
