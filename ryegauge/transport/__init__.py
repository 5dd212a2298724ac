"""HTTP over trio streams, and CBOR bodies."""
