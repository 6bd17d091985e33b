"""Types shared by the whole core: events, actions, messages, fleet and chains."""
