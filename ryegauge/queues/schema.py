"""JSON Schemas of what users and messages may say, made from the types that check them."""

from typing import Any

import msgspec

from ryegauge.protocol.jobs import MAX_TASKS, JobSpec
from ryegauge.queues.messages import FROM_BINDING, LEFT_OUT

DRAFT = "https://json-schema.org/draft/2020-12/schema"
AMOUNTS = ("cpus", "cards", "memoryGb", "imageGb", "expectS", "waypointS", "stowS", "dueS")


def job_schema() -> dict[str, Any]:
    """Of a submission (`POST /v1/jobs`). Unknown fields are ignored, so they are allowed."""
    whole = msgspec.json.schema(JobSpec)
    schema: dict[str, Any] = whole["$defs"]["JobSpec"]
    fields: dict[str, Any] = schema["properties"]
    fields["uid"] = {"type": "string", "pattern": "^wk-[0-9]{1,32}$"}
    fields["pieces"] = {"type": "integer", "minimum": 1, "maximum": MAX_TASKS}
    for name in AMOUNTS:
        number = {"type": "number", "minimum": 0}
        optional = "null" in str(fields[name])
        fields[name] = {"anyOf": [number, {"type": "null"}]} if optional else number
    names = {"type": "array", "items": fields["uid"]}
    fields["awaits"] = {"anyOf": [names, {"type": "null"}]}
    return {"$schema": DRAFT, **schema, "title": "A job"}


def message_schema(defaults: tuple[str, ...] = ()) -> dict[str, Any]:
    """Of a message's body, for a binding that gives `defaults` for some of the fields."""
    schema = job_schema()
    fields = {k: v for k, v in schema["properties"].items() if k not in FROM_BINDING}
    fields["shape"] = {"enum": ["gang", "sweep"]}
    ids = {"type": "array", "items": {"type": "string", "minLength": 1}}
    fields["awaits"] = {"anyOf": [ids, {"type": "null"}]}
    required = [
        name
        for name in schema["required"]
        if name in fields and name not in LEFT_OUT and name not in defaults
    ]
    foreign: dict[str, Any] = dict.fromkeys((*FROM_BINDING, "cancel"), False)
    work = {"type": "object", "properties": {**fields, **foreign}, "required": required}
    end = {
        "type": "object",
        "properties": {"cancel": {"type": "string", "minLength": 1}},
        "required": ["cancel"],
        "additionalProperties": False,
    }
    return {"$schema": DRAFT, "title": "A message", "anyOf": [work, end]}
