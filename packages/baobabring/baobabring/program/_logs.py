"""Structured log lines through logbook."""

import json
import logging
import sys
from datetime import UTC, datetime

import logbook
from logbook.compat import RedirectLoggingHandler

LEVELS = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}


def _fields(record: logbook.LogRecord) -> dict[str, str]:
    time = record.time.replace(tzinfo=UTC) if record.time else datetime.now(UTC)
    fields = {
        "time": time.isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        "part": record.channel,
        "event": record.message,
    }
    fields.update({key: str(value) for key, value in record.kwargs.items()})
    if record.exc_info:
        fields["error"] = str(record.formatted_exception)
    return fields


def _format_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    return json.dumps(_fields(record))


def _format_keyvalue(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    return " ".join(f"{key}={_quote(v)}" for key, v in _fields(record).items())


def _quote(value: str) -> str:
    return json.dumps(value) if not value or set(value) & set(' "=\n') else value


def create_log_handler(line_format: str, level: str) -> logbook.Handler:
    """Return a handler that writes structured lines to standard error."""
    # Gives the log lines of libraries the same format.
    logging.getLogger().handlers = [RedirectLoggingHandler()]
    handler = logbook.StreamHandler(sys.stderr, level=LEVELS[level])
    handler.formatter = _format_json if line_format == "json" else _format_keyvalue
    return handler
