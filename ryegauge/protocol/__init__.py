"""Messages of users, workers, the cloud and peer controllers, and their names on the wire."""
