"""Small deployment on loopback for the scripts of this review."""
