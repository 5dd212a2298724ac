"""AMQP 0-9-1 client: a protocol state machine without I/O (`connection`, `frames`) and its
connections on trio (`client`). Loaded only where a broker is configured. Codec: pamqp."""
