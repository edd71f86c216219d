"""Queues of calls that wait for a free slot, bounded by their deadlines."""

from baobabring.admission._base import (
    ADMISSION_QUEUES,
    AdmissionQueue,
    AdmissionSettings,
    Evicted,
    OfferResult,
    Queued,
    Refused,
    WaitingCall,
    create_admission_queue,
)
from baobabring.admission._fair import FairQueue
from baobabring.admission._fifo import FifoQueue

__all__ = [
    "ADMISSION_QUEUES",
    "AdmissionQueue",
    "AdmissionSettings",
    "Evicted",
    "FairQueue",
    "FifoQueue",
    "OfferResult",
    "Queued",
    "Refused",
    "WaitingCall",
    "create_admission_queue",
]
