"""Test that records in the log keep their recorded encoding.

Instances of two versions run side by side during a rolling replacement, and records
stay in the log. A renamed field, a changed order of fields or another tag would break
both without any other test noticing, since they encode and decode with the same code.
"""

import pytest

from baobabring.balancing._cold_start_replica import (
    ColdStartSnapshot,
    ColdStartState,
    Lease,
    TurnedCold,
    TurnedWarm,
    decode_snapshot,
    encode_records,
    encode_snapshot,
)
from baobabring.balancing._cold_start_replica import _decoder as cold_records_decoder
from baobabring.claims._records import (
    Claim,
    Release,
    Result,
    Settled,
    Settlement,
    Undetermined,
    decode_batch,
    encode_batch,
)
from baobabring.claims._records import (
    encode_record as encode_claim_record,
)
from baobabring.configuration import (
    Accepted,
    ChangeRecord,
    Conflict,
    DeleteService,
    Finding,
    PutService,
    PutTarget,
    RecentVerdict,
    Rejected,
    RemoveTarget,
    SetTargetState,
    SetZoneState,
    SnapshotRecord,
    decode_record,
    encode_record,
)
from baobabring.model import (
    Configuration,
    KeyRule,
    Rule,
    Service,
    Target,
    TargetState,
    ZoneState,
)

CLAIM_RECORDS = (
    Claim(
        claim_id=b"c",
        service_id="s",
        key="k",
        fingerprint=b"f",
        instance_id="i",
        tenant="t",
        method="POST",
        path="/orders",
        claimed_at_s=1.0,
        dispatch_deadline_s=2.0,
    ),
    Result(
        claim_id=b"c",
        service_id="s",
        key="k",
        status=200,
        headers=(("a", "b"),),
        body=None,
        body_digest=b"d",
    ),
    Release(claim_id=b"c", service_id="s", key="k"),
    Undetermined(claim_id=b"c", service_id="s", key="k"),
    Settled(
        settlement_id=b"e",
        claim_id=b"c",
        service_id="s",
        key="k",
        settlement=Settlement.NOT_RUN,
    ),
)
COLD_RECORDS = (
    Lease(target_id="t-1", holder="i", expires_at_s=1.0),
    TurnedWarm(target_id="t-1", cold_epoch=2),
    TurnedCold(target_id="t-1", cold_epoch=3, revision=4),
)
COLD_SNAPSHOT = ColdStartSnapshot(
    next_offset=9,
    lacks_records=True,
    states={
        "t-1": ColdStartState(
            cold_epoch=1,
            cold_at_s=2.0,
            warm=True,
            warm_at_s=3.0,
            revision=4,
            holder="i",
            expires_at_s=5.0,
        )
    },
)
TARGET = Target(
    target_id="t-1",
    address="127.0.0.1:80",
    zone="north",
    slots=2,
    state=TargetState.DRAINING,
)
SERVICE = Service(
    service_id="s",
    path_prefix="/s/",
    rules=(
        Rule(
            method="POST",
            path_pattern="/s/*",
            key_rule=KeyRule.REQUIRED,
            deadline_limit_ms=1_000,
            request_class="payment",
            priority=1,
        ),
    ),
    targets=(TARGET,),
    cold_limit=3,
)
CHANGES = {
    "put_service": PutService(service=SERVICE),
    "delete_service": DeleteService(service_id="s"),
    "put_target": PutTarget(service_id="s", target=TARGET),
    "remove_target": RemoveTarget(service_id="s", target_id="t-1"),
    "set_target_state": SetTargetState(
        service_id="s", target_id="t-1", state=TargetState.ACTIVE
    ),
    "set_zone_state": SetZoneState(zone="north", state=ZoneState.OUT),
}
CONFIGURATION_RECORDS = {
    name: ChangeRecord(change_id="c-1", base_revision=5, change=change)
    for name, change in CHANGES.items()
} | {
    "snapshot": SnapshotRecord(
        revision=6,
        through_offset=7,
        configuration=Configuration(
            revision=6, services={"s": SERVICE}, zones_out=frozenset({"south"})
        ),
        recent_verdicts=(
            RecentVerdict(change_id="c-1", verdict=Accepted(revision=6)),
            RecentVerdict(change_id="c-2", verdict=Conflict(current_revision=5)),
            RecentVerdict(
                change_id="c-3",
                verdict=Rejected(findings=(Finding(place="p", problem="q"),)),
            ),
        ),
        uncovered_at_s=8.0,
    )
}
CLAIM_BATCH = (
    "92c4056261746368959ba5636c61696dc40163a173a16bc40166a169a174a4504f53"
    "54a72f6f7264657273cb3ff0000000000000cb400000000000000098a6726573756c"
    "74c40163a173a16bccc89192a161a162c0c4016494a772656c65617365c40163a173"
    "a16b94ac756e64657465726d696e6564c40163a173a16b96a7736574746c6564c401"
    "65c40163a173a16b02"
)
COLD_BATCH = (
    "9384a474797065a56c65617365a97461726765745f6964a3742d31a6686f6c646572"
    "a169ac657870697265735f61745f73cb3ff000000000000083a474797065a4776172"
    "6da97461726765745f6964a3742d31aa636f6c645f65706f63680284a474797065a4"
    "636f6c64a97461726765745f6964a3742d31aa636f6c645f65706f636803a8726576"
    "6973696f6e04"
)
COLD_SNAPSHOT_PAYLOAD = (
    "83ab6e6578745f6f666673657409ad6c61636b735f7265636f726473c3a673746174"
    "657381a3742d3187aa636f6c645f65706f636801a9636f6c645f61745f73cb400000"
    "0000000000a47761726dc3a97761726d5f61745f73cb4008000000000000a8726576"
    "6973696f6e04a6686f6c646572a169ac657870697265735f61745f73cb4014000000"
    "000000"
)
CONFIGURATION_PAYLOADS = {
    "put_service": (
        '{"record":"change","change_id":"c-1","base_revision":5,"chan'
        'ge":{"type":"put_service","service":{"service_id":"s","path_'
        'prefix":"/s/","rules":[{"method":"POST","path_pattern":"/s/*'
        '","key_rule":"required","deadline_limit_ms":1000,"request_cl'
        'ass":"payment","priority":1}],"targets":[{"target_id":"t-1",'
        '"address":"127.0.0.1:80","zone":"north","slots":2,"state":"d'
        'raining"}],"cold_limit":3}}}'
    ),
    "delete_service": (
        '{"record":"change","change_id":"c-1","base_revision":5,"chan'
        'ge":{"type":"delete_service","service_id":"s"}}'
    ),
    "put_target": (
        '{"record":"change","change_id":"c-1","base_revision":5,"chan'
        'ge":{"type":"put_target","service_id":"s","target":{"target_'
        'id":"t-1","address":"127.0.0.1:80","zone":"north","slots":2,'
        '"state":"draining"}}}'
    ),
    "remove_target": (
        '{"record":"change","change_id":"c-1","base_revision":5,"chan'
        'ge":{"type":"remove_target","service_id":"s","target_id":"t-'
        '1"}}'
    ),
    "set_target_state": (
        '{"record":"change","change_id":"c-1","base_revision":5,"chan'
        'ge":{"type":"set_target_state","service_id":"s","target_id":'
        '"t-1","state":"active"}}'
    ),
    "set_zone_state": (
        '{"record":"change","change_id":"c-1","base_revision":5,"chan'
        'ge":{"type":"set_zone_state","zone":"north","state":"out"}}'
    ),
    "snapshot": (
        '{"record":"snapshot","revision":6,"through_offset":7,"config'
        'uration":{"revision":6,"services":{"s":{"service_id":"s","pa'
        'th_prefix":"/s/","rules":[{"method":"POST","path_pattern":"/'
        's/*","key_rule":"required","deadline_limit_ms":1000,"request'
        '_class":"payment","priority":1}],"targets":[{"target_id":"t-'
        '1","address":"127.0.0.1:80","zone":"north","slots":2,"state"'
        ':"draining"}],"cold_limit":3}},"zones_out":["south"]},"recen'
        't_verdicts":[{"change_id":"c-1","verdict":{"type":"accepted"'
        ',"revision":6}},{"change_id":"c-2","verdict":{"type":"confli'
        'ct","current_revision":5}},{"change_id":"c-3","verdict":{"ty'
        'pe":"rejected","findings":[{"place":"p","problem":"q"}]}}],"'
        'uncovered_at_s":8.0}'
    ),
}


def test_recorded_claim_records_are_read_and_written():
    payload = bytes.fromhex(CLAIM_BATCH)
    batch, skipped = decode_batch(payload)
    encoded = [encode_claim_record(record) for record in CLAIM_RECORDS]
    assert skipped == 0
    assert batch.records == CLAIM_RECORDS
    assert encode_batch(b"batch", encoded) == payload


def test_recorded_cold_records_are_read_and_written():
    payload = bytes.fromhex(COLD_BATCH)
    assert cold_records_decoder.decode(payload) == COLD_RECORDS
    assert encode_records(COLD_RECORDS) == payload


def test_recorded_cold_snapshot_is_read_and_written():
    payload = bytes.fromhex(COLD_SNAPSHOT_PAYLOAD)
    assert decode_snapshot(payload) == COLD_SNAPSHOT
    assert encode_snapshot(COLD_SNAPSHOT) == payload


@pytest.mark.parametrize("name", CONFIGURATION_RECORDS)
def test_recorded_configuration_record_is_read_and_written(name):
    payload = CONFIGURATION_PAYLOADS[name].encode()
    assert decode_record(payload) == CONFIGURATION_RECORDS[name]
    assert encode_record(CONFIGURATION_RECORDS[name]) == payload
