"""Live nodes, upstream health and gossip between nodes."""
