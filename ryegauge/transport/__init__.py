"""HTTP over trio streams, with CBOR bodies."""
