"""AMQP 0-9-1 as a client, without I/O: bytes in, events out. Loaded only where a broker is
named. Codec: pamqp."""
