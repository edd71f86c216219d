import pytest

from baobabstandins.target import check_response, create_response_body


def test_complete_response_to_own_request_passes():
    response = create_response_body(
        "POST", "/orders/1", "r1", b"body", padding_bytes=64
    )
    assert check_response(response, "POST", "/orders/1", b"body") is None


def test_truncated_response_is_found():
    response = create_response_body(
        "POST", "/orders/1", "r1", b"body", padding_bytes=64
    )
    problem = check_response(response[:40], "POST", "/orders/1", b"body")
    assert "response body is incomplete" in problem


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [("PUT", "/a", b"x"), ("POST", "/b", b"x"), ("POST", "/a", b"y")],
)
def test_response_to_another_request_is_found(method, path, body):
    response = create_response_body("POST", "/a", "r1", b"x", padding_bytes=0)
    assert "response is for request" in check_response(response, method, path, body)
