"""Model answers: attempts, failure recovery, quarantine of crashing requests."""
