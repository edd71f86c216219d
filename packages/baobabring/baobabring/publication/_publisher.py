"""Publisher of changes of the configuration."""

import asyncio
import uuid
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


class _Watch:
    """Catch the verdict on a change as soon as the reader has applied its record.

    The fold forgets old verdicts, so a watch looks after each record.
    """

    def __init__(self, reader: ConfigurationReader, change_id: str) -> None:
        self.reader = reader
        self.change_id = change_id
        self.verdict: Verdict | None = None
        self.progress = asyncio.Event()

    def look(self) -> None:
        """Look for the verdict and wake the publisher."""
        if self.verdict is None:
            self.verdict = self.reader.fold.verdict(self.change_id)
        self.progress.set()


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
        self._watches: set[_Watch] = set()
        reader.add_progress_listener(self._look)

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
        watch = _Watch(self.reader, change_id)
        self._watches.add(watch)
        try:
            return await self._publish(record, watch, deadline_s)
        finally:
            self._watches.discard(watch)

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
        self, record: ChangeRecord, watch: _Watch, deadline_s: float
    ) -> ProposalOutcome:
        payload = encode_record(record)
        reason = LATE_REASON
        while self.clock.now_s() < deadline_s:
            match await self._append(payload, deadline_s):
                case Appended():
                    await self._wait(watch, deadline_s)
                    return watch.verdict or Unconfirmed(record.change_id, UNREAD_REASON)
                case AppendRefused(retry_at_s=retry_at_s):
                    if reason != UNANSWERED_REASON:
                        reason = REFUSED_REASON
                    await self._pause(retry_at_s, deadline_s)
                case AppendUnconfirmed():
                    # The record may be in the log, so it is looked for there before
                    # anything is appended again.
                    reason = UNANSWERED_REASON
                    await self._wait(watch, deadline_s, self.reader.started_reads)
            verdict = self._settled_verdict(record, watch)
            if verdict is not None:
                return verdict
        return Unconfirmed(record.change_id, reason)

    def _settled_verdict(self, record: ChangeRecord, watch: _Watch) -> Verdict | None:
        if watch.verdict is not None:
            return watch.verdict
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

    async def _wait(
        self, watch: _Watch, deadline_s: float, last_read: int | None = None
    ) -> None:
        """Wait for the verdict, or for the end as a read after `last_read` saw it."""
        try:
            async with asyncio.timeout(deadline_s - self.clock.now_s()):
                while watch.verdict is None and not self._reached_end(last_read):
                    watch.progress.clear()
                    await watch.progress.wait()
        except TimeoutError:
            return

    def _reached_end(self, last_read: int | None) -> bool:
        return last_read is not None and self.reader.confirmed_read > last_read

    async def _pause(self, retry_at_s: float, deadline_s: float) -> None:
        now_s = self.clock.now_s()
        until_s = min(max(retry_at_s, now_s + APPEND_RETRY_MIN_S), deadline_s)
        await asyncio.sleep(max(until_s - now_s, 0.0))

    def _look(self) -> None:
        for watch in self._watches:
            watch.look()
