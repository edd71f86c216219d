"""HTTP client that sends attempts and probes to targets."""

from abc import ABC, abstractmethod
from collections.abc import Collection
from dataclasses import dataclass
from http import HTTPStatus

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from baobabring.model import (
    Answered,
    AttemptOutcome,
    Call,
    LoadReport,
    Lost,
    Reason,
    Response,
    Shed,
)
from baobabring.utils import Clock

MS_PER_S = 1_000
CONNECT_TIMEOUT_S = 0.5
KEEP_ALIVE_S = 15
PROBE_TIMEOUT_S = 0.5

NOT_RUN_HEADER = "Baobab-Not-Run"
LOAD_HEADER = "Baobab-Load"
DEADLINE_HEADER = "Baobab-Deadline-Ms"
DEADLINE_AT_HEADER = "Baobab-Deadline-Unix-Ms"
RETRIES_HEADER = "Baobab-Retries-Left"
REQUEST_ID_HEADER = "Baobab-Request-Id"
TENANT_HEADER = "Baobab-Tenant"

CONNECTION_HEADER = "connection"
# Instances set headers with this prefix in responses to callers. Those of a target
# are removed so that callers can't mistake them for the instance's own.
OWN_HEADER_PREFIX = "baobab-"
Header = tuple[str, str]

# Hop-by-hop headers, and headers that instances set or read themselves.
NOT_FORWARDED_HEADERS = frozenset(
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
    """Represent an attempt that is to be sent to a target."""

    call: Call
    address: str
    deadline_s: float
    retries_left: int
    new_connection: bool


class TargetClient(ABC):
    """Send attempts and probes to targets."""

    @abstractmethod
    async def send_attempt(self, plan: AttemptPlan) -> AttemptOutcome:
        """Send a call once; cancelling the task also cancels it at the target."""

    @abstractmethod
    async def probe(self, address: str) -> LoadReport | None:
        """Return the load that a target reports, or None without a valid response."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


def create_target_client(
    connections_per_target: int, response_limit_bytes: int, clock: Clock
) -> TargetClient:
    """Return a client; `connections_per_target` limits its pooled connections."""
    return HttpTargetClient(
        _create_session(connections_per_target, keep_alive=True),
        _create_session(0, keep_alive=False),
        response_limit_bytes,
        clock,
    )


def _create_session(
    connections_per_target: int, keep_alive: bool
) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=connections_per_target,
        force_close=not keep_alive,
        **({"keepalive_timeout": KEEP_ALIVE_S} if keep_alive else {}),
    )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )


class _RepeatedSendError(aiohttp.ClientError):
    """Report that aiohttp tried to send a request a second time."""


class _SendOnceMiddleware:
    """Prevent aiohttp from sending a request a second time on its own.

    aiohttp repeats PUT and DELETE when a connection breaks, although the target may
    have run the request.
    """

    def __init__(self) -> None:
        self._sent = False

    async def __call__(self, request, handler) -> aiohttp.ClientResponse:
        """Send the request the first time; raise `_RepeatedSendError` afterwards."""
        if self._sent:
            raise _RepeatedSendError
        self._sent = True
        return await handler(request)


class HttpTargetClient(TargetClient):
    """Send attempts and probes over HTTP with aiohttp."""

    def __init__(
        self,
        pooled_session: aiohttp.ClientSession,
        unpooled_session: aiohttp.ClientSession,
        response_limit_bytes: int,
        clock: Clock,
    ) -> None:
        self.pooled_session = pooled_session
        self.unpooled_session = unpooled_session
        self.response_limit_bytes = response_limit_bytes
        self.clock = clock

    async def send_attempt(self, plan: AttemptPlan) -> AttemptOutcome:
        """Send a call once; cancelling the task also cancels it at the target."""
        started_at_s = self.clock.now_s()
        time_left_s = plan.deadline_s - started_at_s
        if time_left_s <= 0:
            return Shed(report=None, reached_target=False)
        session = self.unpooled_session if plan.new_connection else self.pooled_session
        try:
            async with session.request(
                plan.call.method,
                URL(f"http://{plan.address}{plan.call.path}", encoded=True),
                headers=_build_request_headers(plan, time_left_s),
                data=plan.call.body or None,
                timeout=aiohttp.ClientTimeout(
                    total=time_left_s, sock_connect=CONNECT_TIMEOUT_S
                ),
                allow_redirects=False,
                middlewares=(_SendOnceMiddleware(),),
            ) as response:
                first_byte_ms = (self.clock.now_s() - started_at_s) * MS_PER_S
                return await self._read_response(response, first_byte_ms)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Shed(report=None, reached_target=False)
        except TimeoutError:
            return Lost(Reason.DEADLINE)
        except (aiohttp.ClientError, OSError):
            return Lost(Reason.CONNECTION_LOST)

    async def _read_response(
        self, response: aiohttp.ClientResponse, first_byte_ms: float
    ) -> AttemptOutcome:
        report = parse_load_report(response.headers.get(LOAD_HEADER))
        shed = response.headers.get(NOT_RUN_HEADER) == "1"
        if shed and response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            return Shed(report=report, reached_target=True)
        body = await response.content.read(self.response_limit_bytes + 1)
        while not response.content.at_eof():
            body += await response.content.read(self.response_limit_bytes + 1)
            if len(body) > self.response_limit_bytes:
                response.close()
                return Lost(Reason.ANSWER_TOO_LARGE)
        # aiohttp's header names are of a subclass of str that msgspec can't encode.
        headers = tuple(
            (str(name), value)
            for name, value in _select_forwarded(response.headers.items())
            if not name.lower().startswith(OWN_HEADER_PREFIX)
        )
        target_response = Response(response.status, headers, body)
        return Answered(target_response, report, first_byte_ms)

    async def probe(self, address: str) -> LoadReport | None:
        """Return the load that a target reports, or None without a valid response."""
        try:
            async with self.unpooled_session.get(
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
        await self.pooled_session.close()
        await self.unpooled_session.close()


def _select_forwarded(headers: Collection[Header]) -> list[Header]:
    """Return the headers that are forwarded, without hop-by-hop headers."""
    hop_by_hop = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == CONNECTION_HEADER
        for token in value.split(",")
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in NOT_FORWARDED_HEADERS and name.lower() not in hop_by_hop
    ]


def _build_request_headers(plan: AttemptPlan, time_left_s: float) -> CIMultiDict[str]:
    headers = CIMultiDict(_select_forwarded(plan.call.headers))
    headers[DEADLINE_HEADER] = str(int(time_left_s * MS_PER_S))
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
