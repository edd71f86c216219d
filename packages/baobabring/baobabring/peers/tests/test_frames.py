"""Tests of the framing of messages between instances."""

import pytest

from baobabring.balancing import InFlightUpdate, TargetCount
from baobabring.membership import Heartbeat
from baobabring.peers import (
    BadFrame,
    StateReply,
    StateRequest,
    decode_message,
    encode_message,
)
from baobabring.platform import InstanceState
from baobabring.probing import SharedProbe

MESSAGES = [
    Heartbeat("a", "z", "127.0.0.1:1", 1, 2.0, InstanceState.LIVE, 3, 4, 5.0),
    InFlightUpdate("a", 1, 2.0, True, (TargetCount(7, 1),)),
    StateRequest("a", "127.0.0.1:1"),
    StateReply("a", b"x", b"y"),
    SharedProbe("t", 1.0, True),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_message_survives_its_frame(message):
    assert decode_message(encode_message(message)) == message


@pytest.mark.parametrize(
    ("frame", "problem"),
    [
        (b"", "too short"),
        (b"\x01", "too short"),
        (b"\x09\x01x", "version 9"),
        (b"\x01\x63x", "kind 99"),
        (b"\x01\x01\xc1", "MessagePack data is malformed"),
        (b"\x01\x01\x91\xa1a", "Expected `array` of at least length 9"),
    ],
)
def test_bad_frame_is_told_with_its_problem(frame, problem):
    result = decode_message(frame)
    assert isinstance(result, BadFrame)
    assert problem in result.problem
