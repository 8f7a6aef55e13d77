"""What nginx's documented rules choose for a request. The importer shares nothing but `source` with it."""
