"""The control address for operators: one command line per connection and its response."""
