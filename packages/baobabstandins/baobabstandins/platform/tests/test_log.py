from baobabstandins.platform import Log, TokenBucket


def test_expired_records_advance_the_earliest_offset():
    log = Log()
    log.append("config", b"a", now_s=1.0)
    log.append("config", b"b", now_s=2.0)
    log.expire(before_s=1.5)
    assert log.get_earliest_offset("config") == 1
    assert [record.payload for record in log.read("config", 0, 10)] == [b"b"]


def test_offsets_continue_after_all_records_have_expired():
    log = Log()
    log.append("config", b"a", now_s=1.0)
    log.expire(before_s=9.0)
    assert log.append("config", b"b", now_s=9.0) == 1


def test_token_bucket_rejects_appends_above_the_rate():
    bucket = TokenBucket()
    taken = [bucket.take(100.0, now_s=50.0) for _ in range(30)]
    assert taken.count(True) == 25
