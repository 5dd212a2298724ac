"""What is said on the wire; its names end here."""
