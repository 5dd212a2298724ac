"""JSON Schemas of submitted jobs and of message bodies, generated from the types that validate
them."""

from typing import Any

import msgspec

from ryegauge.protocol.jobs import MAX_TASKS, JobSpec
from ryegauge.queues.messages import BINDING_FIELDS, OPTIONAL_FIELDS

SCHEMA_DIALECT = "https://json-schema.org/draft/2020-12/schema"
AMOUNT_FIELDS = ("cpus", "cards", "memoryGb", "imageGb", "expectS", "waypointS", "stowS", "dueS")


def job_schema() -> dict[str, Any]:
    """The schema of a submission (`POST /v1/jobs`). It allows unknown fields, which the API
    ignores."""
    generated = msgspec.json.schema(JobSpec)
    schema: dict[str, Any] = generated["$defs"]["JobSpec"]
    fields: dict[str, Any] = schema["properties"]
    fields["uid"] = {"type": "string", "pattern": "^wk-[0-9]{1,32}$"}
    fields["pieces"] = {"type": "integer", "minimum": 1, "maximum": MAX_TASKS}
    for name in AMOUNT_FIELDS:
        number = {"type": "number", "minimum": 0}
        optional = "null" in str(fields[name])
        fields[name] = {"anyOf": [number, {"type": "null"}]} if optional else number
    uids = {"type": "array", "items": fields["uid"]}
    fields["awaits"] = {"anyOf": [uids, {"type": "null"}]}
    return {"$schema": SCHEMA_DIALECT, **schema, "title": "A job"}


def message_schema(defaults: tuple[str, ...] = ()) -> dict[str, Any]:
    """The schema of a message body, for a binding whose `defaults` cover these fields."""
    schema = job_schema()
    fields = {k: v for k, v in schema["properties"].items() if k not in BINDING_FIELDS}
    fields["shape"] = {"enum": ["gang", "sweep"]}
    message_ids = {"type": "array", "items": {"type": "string", "minLength": 1}}
    fields["awaits"] = {"anyOf": [message_ids, {"type": "null"}]}
    required = [
        name
        for name in schema["required"]
        if name in fields and name not in OPTIONAL_FIELDS and name not in defaults
    ]
    forbidden: dict[str, Any] = dict.fromkeys((*BINDING_FIELDS, "cancel"), False)
    submission = {"type": "object", "properties": {**fields, **forbidden}, "required": required}
    cancellation = {
        "type": "object",
        "properties": {"cancel": {"type": "string", "minLength": 1}},
        "required": ["cancel"],
        "additionalProperties": False,
    }
    return {"$schema": SCHEMA_DIALECT, "title": "A message", "anyOf": [submission, cancellation]}
