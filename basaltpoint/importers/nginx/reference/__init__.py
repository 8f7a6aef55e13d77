"""Reference evaluator of nginx's documented rules.

The importer shares only `source` with it, so that the evaluator is an independent check of the importer.
"""
