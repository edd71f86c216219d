"""Limit of the probes to targets, kept by the whole fleet."""

# Part of the limit that is planned for; the rest covers what is not yet known.
PLANNED_SHARE = 0.75
LEAST_SHARE = 0.25
# Steps towards a new share are small enough not to swing.
SHARE_GAIN = 0.5
SCARCE_SHARE = 0.6


class ProbeRateBudget:
    """Scale the probes of each call by what the whole fleet sends.

    Every instance scales by the same share, so that a call is served alike wherever
    it arrives, however unevenly the calls are spread over the instances.
    """

    def __init__(self, probes_per_target_s: float) -> None:
        self.probes_per_target_s = probes_per_target_s
        self.share = 1.0
        self._targets = 0
        self._sent_count = 0
        self._carried = 0.0

    def set_targets(self, targets: int) -> None:
        """Take how many targets there are."""
        self._targets = targets

    def set_fleet_rate(self, probes_per_s: float) -> None:
        """Take how many probes all instances sent in a second lately."""
        limit_per_s = self.probes_per_target_s * PLANNED_SHARE * self._targets
        if limit_per_s <= 0 or probes_per_s <= 0:
            return
        wanted = self.share * limit_per_s / probes_per_s
        wanted = min(1.0, max(LEAST_SHARE, wanted))
        self.share += SHARE_GAIN * (wanted - self.share)

    def take(self, wanted: int) -> int:
        """Return how many of the wanted probes may be sent, at least one."""
        allowed = wanted * self.share + self._carried
        granted = max(1, min(wanted, int(allowed)))
        self._carried = max(0.0, min(1.0, allowed - granted))
        self._sent_count += granted
        return granted

    def count_sent(self) -> int:
        """Return how many probes were sent since the last time."""
        sent = self._sent_count
        self._sent_count = 0
        return sent

    @property
    def scarce(self) -> bool:
        """Tell whether only first probes should be sent for now."""
        return self.share < SCARCE_SHARE
