"""Stand-in for clients, and what they see of their requests."""

import asyncio
import uuid
from dataclasses import dataclass

from standin_http import (
    STREAM_LIMIT_BYTES,
    IncompleteMessageError,
    encode,
    read_body,
    read_head,
)
from standin_record import Record

CONNECT_TIMEOUT_S = 1.0
MS_PER_S = 1_000


@dataclass(slots=True)
class Seen:
    """Represent what a client saw of one request; `status` is None without answer."""

    attempt_id: str
    sent_at_s: float
    ended_at_s: float
    status: int | None = None
    headers: dict[str, str] | None = None
    body: bytes = b""
    problem: str = ""


class Client:
    """Send requests one after the other, each with an id of its own.

    The connection is kept for the next request, unless `fresh` is set. `patience_s` is
    how long the client stays beyond its deadline, which it never does by itself.
    """

    def __init__(
        self,
        address: str,
        host: str,
        record: Record,
        fresh: bool = False,
        patience_s: float = 0.0,
    ) -> None:
        self.address = address
        self.host = host
        self.record = record
        self.fresh = fresh
        self.patience_s = patience_s
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(
        self, method: str, path: str, deadline_ms: int, body: bytes = b""
    ) -> Seen:
        """Send one request and return what the client saw of it."""
        attempt_id = uuid.uuid4().hex[:16]
        sent_at_s = self.record.now_s()
        seen = Seen(attempt_id, sent_at_s, sent_at_s)
        try:
            async with asyncio.timeout(deadline_ms / MS_PER_S + self.patience_s):
                await self._exchange(seen, method, path, deadline_ms, body)
        except TimeoutError:
            seen.problem = "no answer until the client left"
            self.close()
        except (IncompleteMessageError, OSError) as error:
            seen.problem = repr(error)
            self.close()
        seen.ended_at_s = self.record.now_s()
        self.record.write(
            "client saw",
            id=attempt_id,
            machine=self.address,
            method=method,
            path=path,
            sent_at_s=round(sent_at_s, 4),
            status=seen.status,
            answer_id=(seen.headers or {}).get("x-baobabring-attempt-id"),
            body=seen.body[:80].decode("latin-1"),
            problem=seen.problem,
        )
        return seen

    async def _exchange(
        self, seen: Seen, method: str, path: str, deadline_ms: int, body: bytes
    ) -> None:
        if self._streams is None:
            host, _, port = self.address.rpartition(":")
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._streams = await asyncio.open_connection(
                    host, int(port), limit=STREAM_LIMIT_BYTES
                )
        reader, writer = self._streams
        headers = {
            "Host": self.host,
            "X-Baobabring-Attempt-Id": seen.attempt_id,
            "X-Baobabring-Deadline-Ms": str(deadline_ms),
        }
        if method != "GET":
            headers["Content-Length"] = str(len(body))
        writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
        await writer.drain()
        answer = await read_head(reader)
        await read_body(reader, answer, until_close=True)
        seen.status = answer.status
        seen.headers = answer.headers
        seen.body = answer.body
        closes = answer.headers.get("connection", "").lower() == "close"
        if self.fresh or closes:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
