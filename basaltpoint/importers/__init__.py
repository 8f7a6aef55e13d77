"""Importers for the configuration files of other proxies."""
