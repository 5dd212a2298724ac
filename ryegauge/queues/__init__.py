"""Work queues: messages of a broker become jobs. Loaded only where a broker is named."""
