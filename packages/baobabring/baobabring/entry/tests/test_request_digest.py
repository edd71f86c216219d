"""Test the identity of requests."""

from dataclasses import replace

from baobabring.entry import digest_request
from baobabring.entry.tests.builders import build_call

HOST = (b"host", b"menu.example")


def build_request(**changes):
    """Return a call with a host and a body, and some fields changed."""
    fields = {"method": "POST", "path": "/a?x=1", "headers": (HOST,), "body": b"b"}
    return replace(build_call(), **(fields | changes))


def test_repeats_have_the_same_digest_whatever_their_id_and_deadline():
    repeat = build_request(
        call_id="other",
        deadline_s=99.0,
        headers=((b"x-attempt", b"2"), (b"user-agent", b"x"), HOST),
    )
    assert digest_request(build_request()) == digest_request(repeat)


def test_requests_that_differ_have_different_digests():
    digests = {
        digest_request(build_request()),
        digest_request(build_request(method="PUT")),
        digest_request(build_request(path="/a?x=2")),
        digest_request(build_request(body=b"c")),
        digest_request(build_request(path="/a?x=", body=b"1b")),
        digest_request(build_request(headers=((b"host", b"other.example"),))),
        digest_request(build_request(headers=(HOST, (b"authorization", b"me")))),
    }
    assert len(digests) == 7


def test_long_bodies_differ_by_beginning_and_length():
    long_body = b"x" * 3_000_000
    digests = {
        digest_request(build_request(body=long_body)),
        digest_request(build_request(body=long_body + b"x")),
        digest_request(build_request(body=b"y" + long_body[1:])),
    }
    assert len(digests) == 3


def test_digest_is_the_same_in_all_builds():
    # Instances of two builds tell each other digests.
    assert digest_request(build_request()) == "8038f7a71d47fde7b36c57514c1c0885"
