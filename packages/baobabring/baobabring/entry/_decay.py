"""Counts and averages that forget."""


class DecayingCount:
    """Count events, each of which loses half its weight in every half-life."""

    __slots__ = ("_at_s", "_half_life_s", "_value")

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._value = 0.0
        self._at_s = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Count an event."""
        self._value = self.value(now_s) + amount
        self._at_s = now_s

    def value(self, now_s: float) -> float:
        """Return the weight of all events."""
        if not self._value:
            return 0.0
        passed_s = max(0.0, now_s - self._at_s)
        return self._value * 0.5 ** (passed_s / self._half_life_s)


class MovingAverage:
    """Average values, of which each new one counts with a fixed share."""

    __slots__ = ("_gain", "_seen", "value")

    def __init__(self, first_value: float, gain: float) -> None:
        self.value = first_value
        self._gain = gain
        self._seen = 0

    def add(self, value: float) -> None:
        """Take in a value; the first ones count for more."""
        self._seen += 1
        gain = max(self._gain, 1.0 / (self._seen + 1))
        self.value += gain * (value - self.value)
