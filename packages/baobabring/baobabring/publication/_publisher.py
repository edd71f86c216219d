"""Publisher of changes of the configuration."""

import asyncio
import uuid
from collections.abc import Callable
from dataclasses import dataclass

from baobabring.configuration import (
    Change,
    ChangeRecord,
    Conflict,
    Rejected,
    Verdict,
    encode_record,
    validate_change,
)
from baobabring.platform import (
    Appended,
    AppendOutcome,
    AppendRefused,
    AppendUnconfirmed,
    EventLog,
)
from baobabring.publication._reader import CONFIGURATION_STREAM, ConfigurationReader
from baobabring.utils import Clock

APPEND_RETRY_MIN_S = 0.05
LATE_REASON = "the deadline had passed; nothing was changed"
REFUSED_REASON = "the log refused the change; it did not take effect"
UNANSWERED_REASON = "the log did not answer; the change may yet take effect"
UNREAD_REASON = "the change was not read back in time; it may yet take effect"
GAP_REASON = "this instance lacks part of the configuration; nothing was changed"


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """Tell that the outcome of a change was not known by the deadline."""

    change_id: str
    reason: str


ProposalOutcome = Verdict | Unconfirmed


class ConfigurationPublisher:
    """Append changes to the log and answer by what the fold made of them.

    Parameters
    ----------
    log : EventLog
        The platform's log.
    reader : ConfigurationReader
        The running reader of the same log, which tells the verdicts.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self, log: EventLog, reader: ConfigurationReader, clock: Clock
    ) -> None:
        self.log = log
        self.reader = reader
        self.clock = clock
        self._waiters: set[asyncio.Future[None]] = set()
        reader.add_progress_listener(self._wake_waiters)

    async def propose(
        self,
        base_revision: int,
        change: Change,
        deadline_s: float,
        change_id: str | None = None,
    ) -> ProposalOutcome:
        """Publish a change and return its verdict once it was read back.

        With the `change_id` of an earlier try, the change takes effect at most once.
        """
        change_id = change_id or str(uuid.uuid4())
        verdict = self._early_verdict(base_revision, change, change_id)
        if verdict is not None:
            return verdict
        if self.reader.fold.needs_snapshot:
            return Unconfirmed(change_id, GAP_REASON)
        record = ChangeRecord(change_id, base_revision, change)
        return await self._publish(record, deadline_s)

    def _early_verdict(
        self, base_revision: int, change: Change, change_id: str
    ) -> Verdict | None:
        known = self.reader.fold.verdict(change_id)
        if known is not None:
            return known
        configuration = self.reader.configuration
        if base_revision < configuration.revision:
            return Conflict(current_revision=configuration.revision)
        if base_revision > configuration.revision:
            # Another instance has shown the operator more than is known here.
            return None
        findings = validate_change(configuration, change)
        return Rejected(findings=findings) if findings else None

    async def _publish(
        self, record: ChangeRecord, deadline_s: float
    ) -> ProposalOutcome:
        payload = encode_record(record)
        reason = LATE_REASON
        while self.clock.now_s() < deadline_s:
            match await self._append(payload, deadline_s):
                case Appended():
                    return await self._read_back(record.change_id, deadline_s)
                case AppendRefused(retry_at_s=retry_at_s):
                    if reason != UNANSWERED_REASON:
                        reason = REFUSED_REASON
                    await self._pause(retry_at_s, deadline_s)
                case AppendUnconfirmed():
                    # The record may be in the log, so it is looked for there before
                    # anything is appended again.
                    reason = UNANSWERED_REASON
                    await self._reach_end(record.change_id, deadline_s)
            verdict = self._settled_verdict(record)
            if verdict is not None:
                return verdict
        return Unconfirmed(record.change_id, reason)

    def _settled_verdict(self, record: ChangeRecord) -> Verdict | None:
        known = self.reader.fold.verdict(record.change_id)
        if known is not None:
            return known
        revision = self.reader.configuration.revision
        if revision > record.base_revision:
            # Wherever the record may yet appear, the fold will find the conflict.
            return Conflict(current_revision=revision)
        return None

    async def _append(self, payload: bytes, deadline_s: float) -> AppendOutcome:
        try:
            async with asyncio.timeout(deadline_s - self.clock.now_s()):
                return await self.log.append(CONFIGURATION_STREAM, payload, deadline_s)
        except TimeoutError:
            return AppendUnconfirmed()

    async def _read_back(self, change_id: str, deadline_s: float) -> ProposalOutcome:
        fold = self.reader.fold
        await self._wait_for(lambda: fold.verdict(change_id) is not None, deadline_s)
        verdict = fold.verdict(change_id)
        return verdict or Unconfirmed(change_id, UNREAD_REASON)

    async def _reach_end(self, change_id: str, deadline_s: float) -> None:
        reader = self.reader
        last_read = reader.started_reads
        await self._wait_for(
            lambda: (
                reader.confirmed_read > last_read
                or reader.fold.verdict(change_id) is not None
            ),
            deadline_s,
        )

    async def _wait_for(self, condition: Callable[[], bool], deadline_s: float) -> None:
        while not condition():
            remaining_s = deadline_s - self.clock.now_s()
            if remaining_s <= 0:
                return
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.add(waiter)
            try:
                async with asyncio.timeout(remaining_s):
                    await waiter
            except TimeoutError:
                return
            finally:
                self._waiters.discard(waiter)

    async def _pause(self, retry_at_s: float, deadline_s: float) -> None:
        now_s = self.clock.now_s()
        until_s = min(max(retry_at_s, now_s + APPEND_RETRY_MIN_S), deadline_s)
        await asyncio.sleep(max(until_s - now_s, 0.0))

    def _wake_waiters(self) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
