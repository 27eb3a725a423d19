"""Replicated configuration: documents, zone and target states, views, hosts and members."""
