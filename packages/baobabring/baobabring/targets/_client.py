"""HTTP client that carries one attempt of a call to a target."""

from abc import ABC, abstractmethod
from collections.abc import Collection
from dataclasses import dataclass
from http import HTTPStatus

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from baobabring.model import (
    Answer,
    Answered,
    AttemptOutcome,
    Call,
    LoadReport,
    Lost,
    Reason,
    Shed,
)
from baobabring.utils import Clock

MS_PER_S = 1_000
CONNECT_TIMEOUT_S = 0.5
KEEPALIVE_S = 15
PROBE_TIMEOUT_S = 0.5

NOT_RUN_HEADER = "Baobab-Not-Run"
LOAD_HEADER = "Baobab-Load"
DEADLINE_HEADER = "Baobab-Deadline-Ms"
DEADLINE_AT_HEADER = "Baobab-Deadline-Unix-Ms"
RETRIES_HEADER = "Baobab-Retries-Left"
REQUEST_ID_HEADER = "Baobab-Request-Id"
TENANT_HEADER = "Baobab-Tenant"

CONNECTION_HEADER = "connection"
# What the fleet tells of an answer must not be mistaken for what a target says.
OWN_PREFIX = "baobab-"
Header = tuple[str, str]

# Headers that concern one connection only, or that we set ourselves.
NOT_FORWARDED = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        DEADLINE_HEADER.lower(),
        DEADLINE_AT_HEADER.lower(),
        RETRIES_HEADER.lower(),
        REQUEST_ID_HEADER.lower(),
        TENANT_HEADER.lower(),
        LOAD_HEADER.lower(),
    }
)


@dataclass(frozen=True, slots=True)
class AttemptPlan:
    """Say where, until when and how to try a call once."""

    call: Call
    address: str
    deadline_s: float
    retries_left: int
    new_connection: bool


class TargetClient(ABC):
    """Carry attempts and probes to targets."""

    @abstractmethod
    async def attempt(self, plan: AttemptPlan) -> AttemptOutcome:
        """Try a call once; cancelling the task cancels it at the target."""

    @abstractmethod
    async def probe(self, address: str) -> LoadReport | None:
        """Ask a target for its load, or return None when it doesn't answer."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


def create_target_client(
    connections_per_target: int, answer_limit_bytes: int, clock: Clock
) -> TargetClient:
    """Return a client; at most so many connections stay open to each target."""
    return HttpTargetClient(
        _create_session(connections_per_target, keep_open=True),
        _create_session(0, keep_open=False),
        answer_limit_bytes,
        clock,
    )


def _create_session(limit: int, keep_open: bool) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=limit,
        force_close=not keep_open,
        **({"keepalive_timeout": KEEPALIVE_S} if keep_open else {}),
    )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )


class _RepeatedSendError(aiohttp.ClientError):
    """Tell that the library tried to send a request a second time."""


class _SendOnce:
    """Keep the library from sending a request again by itself.

    aiohttp repeats PUT and DELETE when a connection breaks, whatever may have run.
    """

    def __init__(self) -> None:
        self._sent = False

    async def __call__(self, request, handler) -> aiohttp.ClientResponse:
        """Pass the first send on and refuse any other."""
        if self._sent:
            raise _RepeatedSendError
        self._sent = True
        return await handler(request)


class HttpTargetClient(TargetClient):
    """Carry attempts over HTTP with aiohttp."""

    def __init__(
        self,
        pooled: aiohttp.ClientSession,
        unpooled: aiohttp.ClientSession,
        answer_limit_bytes: int,
        clock: Clock,
    ) -> None:
        self.pooled = pooled
        self.unpooled = unpooled
        self.answer_limit_bytes = answer_limit_bytes
        self.clock = clock

    async def attempt(self, plan: AttemptPlan) -> AttemptOutcome:
        """Try a call once; cancelling the task cancels it at the target."""
        started_at_s = self.clock.now_s()
        left_s = plan.deadline_s - started_at_s
        if left_s <= 0:
            return Shed(report=None, reached_target=False)
        session = self.unpooled if plan.new_connection else self.pooled
        try:
            async with session.request(
                plan.call.method,
                URL(f"http://{plan.address}{plan.call.path}", encoded=True),
                headers=_headers_to_target(plan, left_s),
                data=plan.call.body or None,
                timeout=aiohttp.ClientTimeout(
                    total=left_s, sock_connect=CONNECT_TIMEOUT_S
                ),
                allow_redirects=False,
                middlewares=(_SendOnce(),),
            ) as response:
                first_byte_ms = (self.clock.now_s() - started_at_s) * MS_PER_S
                return await self._read_answer(response, first_byte_ms)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Shed(report=None, reached_target=False)
        except TimeoutError:
            return Lost(Reason.DEADLINE)
        except (aiohttp.ClientError, OSError):
            return Lost(Reason.CONNECTION_LOST)

    async def _read_answer(
        self, response: aiohttp.ClientResponse, first_byte_ms: float
    ) -> AttemptOutcome:
        report = parse_load_report(response.headers.get(LOAD_HEADER))
        shed = response.headers.get(NOT_RUN_HEADER) == "1"
        if shed and response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            return Shed(report=report, reached_target=True)
        body = await response.content.read(self.answer_limit_bytes + 1)
        while not response.content.at_eof():
            body += await response.content.read(self.answer_limit_bytes + 1)
            if len(body) > self.answer_limit_bytes:
                response.close()
                return Lost(Reason.ANSWER_TOO_LARGE)
        # The library's names are of a class of its own, which no codec knows.
        headers = tuple(
            (str(name), value)
            for name, value in _forwarded(response.headers.items())
            if not name.lower().startswith(OWN_PREFIX)
        )
        answer = Answer(response.status, headers, body)
        return Answered(answer, report, first_byte_ms)

    async def probe(self, address: str) -> LoadReport | None:
        """Ask a target for its load, or return None when it doesn't answer."""
        try:
            async with self.unpooled.get(
                f"http://{address}/-/health",
                timeout=aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S),
            ) as response:
                if response.status != HTTPStatus.OK:
                    return None
                return parse_load_report(response.headers.get(LOAD_HEADER))
        except (TimeoutError, aiohttp.ClientError, OSError):
            return None

    async def close(self) -> None:
        """Close all connections."""
        await self.pooled.close()
        await self.unpooled.close()


def _forwarded(headers: Collection[Header]) -> list[Header]:
    """Return the headers that don't concern one connection only."""
    hops = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == CONNECTION_HEADER
        for token in value.split(",")
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in NOT_FORWARDED and name.lower() not in hops
    ]


def _headers_to_target(plan: AttemptPlan, left_s: float) -> CIMultiDict[str]:
    headers = CIMultiDict(_forwarded(plan.call.headers))
    headers[DEADLINE_HEADER] = str(int(left_s * MS_PER_S))
    headers[DEADLINE_AT_HEADER] = str(int(plan.deadline_s * MS_PER_S))
    headers[RETRIES_HEADER] = str(plan.retries_left)
    headers[REQUEST_ID_HEADER] = plan.call.call_id
    headers[TENANT_HEADER] = plan.call.tenant
    return headers


def parse_load_report(value: str | None) -> LoadReport | None:
    """Parse a load header such as `in_flight=1;slots=2;cold=0;draining=0`."""
    if value is None:
        return None
    try:
        fields = dict(part.split("=", 1) for part in value.split(";"))
        return LoadReport(
            in_flight=int(fields["in_flight"]),
            slots=int(fields["slots"]),
            cold=fields["cold"].strip() == "1",
            draining=fields["draining"].strip() == "1",
        )
    except (KeyError, ValueError):
        return None
