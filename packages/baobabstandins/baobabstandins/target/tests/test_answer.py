import pytest

from baobabstandins.target import answer_body, check_answer


def test_own_whole_answer_passes():
    answer = answer_body("POST", "/orders/1", "r1", b"body", padding_bytes=64)
    assert check_answer(answer, "POST", "/orders/1", b"body") is None


def test_half_answer_is_found():
    answer = answer_body("POST", "/orders/1", "r1", b"body", padding_bytes=64)
    problem = check_answer(answer[:40], "POST", "/orders/1", b"body")
    assert "not whole" in problem


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [("PUT", "/a", b"x"), ("POST", "/b", b"x"), ("POST", "/a", b"y")],
)
def test_answer_to_another_request_is_found(method, path, body):
    answer = answer_body("POST", "/a", "r1", b"x", padding_bytes=0)
    assert "is to" in check_answer(answer, method, path, body)
