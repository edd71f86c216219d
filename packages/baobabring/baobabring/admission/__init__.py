"""Queues of calls that wait for a free slot, bounded by their deadlines."""

from baobabring.admission._base import (
    ADMISSION_QUEUES,
    AdmissionQueue,
    AdmissionSettings,
    Displaced,
    Offered,
    Queued,
    Refused,
    Waiting,
    create_admission_queue,
)
from baobabring.admission._fair import FairQueue
from baobabring.admission._fifo import FifoQueue

__all__ = [
    "ADMISSION_QUEUES",
    "AdmissionQueue",
    "AdmissionSettings",
    "Displaced",
    "FairQueue",
    "FifoQueue",
    "Offered",
    "Queued",
    "Refused",
    "Waiting",
    "create_admission_queue",
]
