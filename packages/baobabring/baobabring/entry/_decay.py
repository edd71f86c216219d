"""Exponentially decaying counts and averages."""


class DecayingCount:
    """Count events with a weight that halves in every half-life."""

    __slots__ = ("_at_s", "_half_life_s", "_value")

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._value = 0.0
        self._at_s = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add events with a total weight of `amount`."""
        self._value = self.value(now_s) + amount
        self._at_s = now_s

    def value(self, now_s: float) -> float:
        """Return the sum of the current weights of all events."""
        if not self._value:
            return 0.0
        elapsed_s = max(0.0, now_s - self._at_s)
        return self._value * 0.5 ** (elapsed_s / self._half_life_s)


class MovingAverage:
    """Exponential moving average with a fixed gain."""

    __slots__ = ("_gain", "_added_count", "value")

    def __init__(self, first_value: float, gain: float) -> None:
        self.value = first_value
        self._gain = gain
        self._added_count = 0

    def add(self, value: float) -> None:
        """Add a value; the first ones get a higher gain than the fixed one."""
        self._added_count += 1
        gain = max(self._gain, 1.0 / (self._added_count + 1))
        self.value += gain * (value - self.value)
