"""AMQP work queues: turns the messages of a broker into jobs and publishes their outcomes.

Loaded only where a broker is configured.
"""
