"""Interfaces to the operating system: sockets, errors of system calls, and clocks."""
