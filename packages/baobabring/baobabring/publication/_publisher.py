"""Publisher of configuration changes."""

import asyncio
import uuid
from dataclasses import dataclass

from baobabring.configuration import (
    Change,
    ChangeRecord,
    ChangeVerdict,
    Conflict,
    Rejected,
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

MIN_APPEND_RETRY_DELAY_S = 0.05
DEADLINE_PASSED_REASON = "the deadline had passed; nothing was changed"
REFUSED_REASON = "the log refused the change; it did not take effect"
UNANSWERED_REASON = "the log did not answer; the change may yet take effect"
NOT_READ_BACK_REASON = "the change was not read back in time; it may yet take effect"
GAP_REASON = "this instance lacks part of the configuration; nothing was changed"


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """Report that the outcome of a change was not known by the deadline."""

    change_id: str
    reason: str


ProposalOutcome = ChangeVerdict | Unconfirmed


class _PendingChange:
    """Represent a published change whose verdict is awaited.

    The replica keeps recent verdicts only, so the verdict is looked up after each
    applied record.
    """

    def __init__(self, reader: ConfigurationReader, change_id: str) -> None:
        self.reader = reader
        self.change_id = change_id
        self.verdict: ChangeVerdict | None = None
        self.progress = asyncio.Event()

    def check_verdict(self) -> None:
        """Store the verdict if there is one, and wake the publisher."""
        if self.verdict is None:
            self.verdict = self.reader.replica.get_verdict(self.change_id)
        self.progress.set()


class ConfigurationPublisher:
    """Append changes to the log and return their verdicts.

    Parameters
    ----------
    log : EventLog
        The platform's log.
    reader : ConfigurationReader
        Running reader of the same log; its replica decides on the changes.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self, log: EventLog, reader: ConfigurationReader, clock: Clock
    ) -> None:
        self.log = log
        self.reader = reader
        self.clock = clock
        self._pending_changes: set[_PendingChange] = set()
        reader.add_progress_listener(self._check_verdicts)

    async def propose(
        self,
        base_revision: int,
        change: Change,
        deadline_s: float,
        change_id: str | None = None,
    ) -> ProposalOutcome:
        """Publish a change and return its verdict once its record was read back.

        With the `change_id` of an earlier call, the change takes effect at most once.
        """
        change_id = change_id or str(uuid.uuid4())
        verdict = self._get_immediate_verdict(base_revision, change, change_id)
        if verdict is not None:
            return verdict
        if self.reader.replica.needs_snapshot:
            return Unconfirmed(change_id, GAP_REASON)
        record = ChangeRecord(change_id, base_revision, change)
        pending = _PendingChange(self.reader, change_id)
        self._pending_changes.add(pending)
        try:
            return await self._publish(record, pending, deadline_s)
        finally:
            self._pending_changes.discard(pending)

    def _get_immediate_verdict(
        self, base_revision: int, change: Change, change_id: str
    ) -> ChangeVerdict | None:
        known = self.reader.replica.get_verdict(change_id)
        if known is not None:
            return known
        configuration = self.reader.configuration
        if base_revision < configuration.revision:
            return Conflict(current_revision=configuration.revision)
        if base_revision > configuration.revision:
            # The operator has seen a newer revision at another instance, so only the
            # log can decide.
            return None
        findings = validate_change(configuration, change)
        return Rejected(findings=findings) if findings else None

    async def _publish(
        self, record: ChangeRecord, pending: _PendingChange, deadline_s: float
    ) -> ProposalOutcome:
        payload = encode_record(record)
        reason = DEADLINE_PASSED_REASON
        while self.clock.now_s() < deadline_s:
            match await self._append(payload, deadline_s):
                case Appended():
                    await self._wait_for_verdict(pending, deadline_s)
                    return pending.verdict or Unconfirmed(
                        record.change_id, NOT_READ_BACK_REASON
                    )
                case AppendRefused(retry_at_s=retry_at_s):
                    if reason != UNANSWERED_REASON:
                        reason = REFUSED_REASON
                    await self._wait_to_retry(retry_at_s, deadline_s)
                case AppendUnconfirmed():
                    # The record may be in the log, so read to the end of the stream
                    # before appending it again.
                    reason = UNANSWERED_REASON
                    await self._wait_for_verdict(
                        pending, deadline_s, self.reader.last_started_read
                    )
            verdict = self._get_known_verdict(record, pending)
            if verdict is not None:
                return verdict
        return Unconfirmed(record.change_id, reason)

    def _get_known_verdict(
        self, record: ChangeRecord, pending: _PendingChange
    ) -> ChangeVerdict | None:
        if pending.verdict is not None:
            return pending.verdict
        revision = self.reader.configuration.revision
        if revision > record.base_revision:
            # If the record reaches the log later, its verdict is a conflict as well.
            return Conflict(current_revision=revision)
        return None

    async def _append(self, payload: bytes, deadline_s: float) -> AppendOutcome:
        try:
            async with asyncio.timeout(deadline_s - self.clock.now_s()):
                return await self.log.append(CONFIGURATION_STREAM, payload, deadline_s)
        except TimeoutError:
            return AppendUnconfirmed()

    async def _wait_for_verdict(
        self, pending: _PendingChange, deadline_s: float, last_read: int | None = None
    ) -> None:
        """Wait for the verdict, or until a read after `last_read` reached the end."""
        try:
            async with asyncio.timeout(deadline_s - self.clock.now_s()):
                while pending.verdict is None and not self._has_read_to_end(last_read):
                    pending.progress.clear()
                    await pending.progress.wait()
        except TimeoutError:
            return

    def _has_read_to_end(self, last_read: int | None) -> bool:
        return last_read is not None and self.reader.last_confirmed_read > last_read

    async def _wait_to_retry(self, retry_at_s: float, deadline_s: float) -> None:
        now_s = self.clock.now_s()
        until_s = min(max(retry_at_s, now_s + MIN_APPEND_RETRY_DELAY_S), deadline_s)
        await asyncio.sleep(max(until_s - now_s, 0.0))

    def _check_verdicts(self) -> None:
        for pending in self._pending_changes:
            pending.check_verdict()
