"""Limit of the questions to targets, kept by the whole fleet."""

# Part of the limit that is planned for; the rest covers views that differ.
PLANNED_SHARE = 0.7
BURST_S = 1.0


class QuestionBudget:
    """Divide the questions that targets bear among the instances."""

    def __init__(self, questions_per_target_s: float, now_s: float) -> None:
        self.questions_per_target_s = questions_per_target_s
        self._own_per_s = 0.0
        self._tokens = 0.0
        self._refilled_at_s = now_s

    def set_fleet(self, targets: int, instances: int) -> None:
        """Take how many targets there are and how many instances ask them."""
        total_per_s = self.questions_per_target_s * PLANNED_SHARE * targets
        self._own_per_s = total_per_s / max(1, instances)

    def take(self, wanted: int, now_s: float) -> int:
        """Return how many of the wanted questions may be asked, at least one."""
        earned = max(0.0, now_s - self._refilled_at_s) * self._own_per_s
        self._tokens = min(self._tokens + earned, self._own_per_s * BURST_S)
        self._refilled_at_s = now_s
        granted = max(1, min(wanted, int(self._tokens)))
        self._tokens -= granted
        return granted

    @property
    def scarce(self) -> bool:
        """Tell whether only first questions should be asked for now."""
        return self._tokens < self._own_per_s * BURST_S / 4
