"""Rate limit for probes to targets, shared by the whole fleet."""

# Share of the limit that is planned for. The rest covers probes that are not
# yet reported.
PLANNED_SHARE = 0.75
# Minimum share of the wanted probes that are sent.
MIN_SHARE = 0.25
# Fraction of the correction applied per update, small enough to avoid oscillation.
SHARE_GAIN = 0.5
# Below this share, only the first probes of a call are sent.
SCARCITY_THRESHOLD = 0.6


class ProbeRateBudget:
    """Scale the number of probes per call by the probe rate of the whole fleet.

    Every instance applies the same share, so that calls get equal numbers of probes
    at all instances, however unevenly they are distributed.
    """

    def __init__(self, probes_per_target_s: float) -> None:
        self.probes_per_target_s = probes_per_target_s
        self.share = 1.0
        self._target_count = 0
        self._sent_count = 0
        self._fraction_left = 0.0

    def set_target_count(self, target_count: int) -> None:
        """Set the number of targets."""
        self._target_count = target_count

    def set_fleet_rate(self, probes_per_s: float) -> None:
        """Update the share from the recent probe rate of all instances."""
        limit_per_s = self.probes_per_target_s * PLANNED_SHARE * self._target_count
        if limit_per_s <= 0 or probes_per_s <= 0:
            return
        wanted = self.share * limit_per_s / probes_per_s
        wanted = min(1.0, max(MIN_SHARE, wanted))
        self.share += SHARE_GAIN * (wanted - self.share)

    def grant(self, wanted: int) -> int:
        """Count and return how many of the wanted probes may be sent, at least one."""
        allowed = wanted * self.share + self._fraction_left
        granted = max(1, min(wanted, int(allowed)))
        self._fraction_left = max(0.0, min(1.0, allowed - granted))
        self._sent_count += granted
        return granted

    def pop_sent_count(self) -> int:
        """Return the number of probes sent since the last call and reset it."""
        sent = self._sent_count
        self._sent_count = 0
        return sent

    @property
    def is_scarce(self) -> bool:
        """Return whether only the first probes of a call should be sent for now."""
        return self.share < SCARCITY_THRESHOLD
