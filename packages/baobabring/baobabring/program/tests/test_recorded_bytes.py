"""Test that messages and records in their recorded encoding are read and written.

Instances of two versions run side by side during a rolling replacement, and records
stay in the log. A renamed field, a changed order of fields or another tag would break
both without any other test noticing, since they encode and decode with the same code.
"""

import pytest

from baobabring.balancing import ColdNotice, InFlightUpdate, TargetCount
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
from baobabring.entry import (
    CallerLimits,
    EntryConfiguration,
    EntryRoute,
    EntryService,
    EntryTarget,
    InstanceAlive,
    InstanceChanges,
    InstanceList,
    SharedView,
    ViewDelta,
    ViewHeartbeat,
    ViewRequest,
    ViewState,
    WeightedService,
)
from baobabring.membership import Heartbeat
from baobabring.model import (
    Configuration,
    KeyRule,
    Rule,
    Service,
    Target,
    TargetState,
    ZoneState,
)
from baobabring.peers import StateReply, StateRequest, decode_message, encode_message
from baobabring.platform import InstanceState
from baobabring.probing import SharedProbe

ROUTE = EntryRoute(
    route_id="r-1",
    host="menu.example",
    path_prefix="/menu/",
    idempotent=True,
    services=(WeightedService(service_id="a", weight=90.0),),
    timeout_ms=1_500.0,
    latency_goal_ms=600.0,
    attempt_limit=2,
    priority=3,
)
CONFIGURATION = EntryConfiguration(
    version=7,
    routes=(ROUTE,),
    services={
        "a": EntryService(
            service_id="a",
            health_path="/health",
            connection_limit=220,
            cold_calls_per_s=2.9,
        )
    },
    limits=CallerLimits(
        header_limit_bytes=1,
        body_limit_bytes=2,
        header_timeout_ms=3.0,
        idle_timeout_ms=4.0,
    ),
)
ENTRY_TARGET = EntryTarget(
    target_id="t-1",
    service_id="a",
    address="127.0.0.1:80",
    zone="north",
    slots=2,
    draining=True,
    sequence=4,
    started_at_ms=5,
    cold_ms=6.0,
)
MESSAGES = {
    "Heartbeat": Heartbeat(
        sender="i",
        zone="north",
        peer_address="127.0.0.1:1",
        sequence=1,
        sent_at_s=2.0,
        state=InstanceState.LEAVING,
        revision=3,
        config_offset=4,
        confirmed_at_s=5.0,
    ),
    "InFlightUpdate": InFlightUpdate(
        sender="i",
        sequence=1,
        sent_at_s=2.0,
        full=True,
        counts=(TargetCount(target_key=7, in_flight=1),),
        notices=(ColdNotice(target_id="t-1", cold_epoch=9),),
    ),
    "StateRequest": StateRequest(sender="i", reply_address="127.0.0.1:1"),
    "StateReply": StateReply(sender="i", configuration=b"x", cold_start_snapshot=b"y"),
    "SharedProbe": SharedProbe(target_id="t-1", probed_at_s=1.0, healthy=True),
    "InstanceAlive": InstanceAlive(
        sender="i",
        address="127.0.0.1:1",
        probes_per_s=1.5,
        failures={"t-1": 2},
        joining=True,
        leaving=False,
    ),
    "ViewHeartbeat": ViewHeartbeat(
        sender="i",
        address="127.0.0.1:1",
        operator_offset=1,
        target_offset=2,
        age_ms=3.0,
        digest=4,
        instances=InstanceChanges(joined={"j": "127.0.0.1:2"}, left=["k"], digest=5),
        probes_per_s=6.0,
        failures={"t-1": 7},
    ),
    "ViewState": ViewState(
        sender="i",
        operator_offset=1,
        target_offset=2,
        age_ms=3.0,
        configuration=CONFIGURATION,
        targets=[ENTRY_TARGET],
        zones_out=["south"],
        instances={"i": "127.0.0.1:1"},
    ),
    "ViewDelta": ViewDelta(
        sender="i",
        base_digest=1,
        operator_offset=2,
        target_offset=3,
        age_ms=4.0,
        configuration=None,
        targets=[ENTRY_TARGET],
        removed=["t-2"],
        zones_out=["south"],
    ),
    "ViewRequest": ViewRequest(sender="i", reply_address="127.0.0.1:1"),
}
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
MESSAGE_FRAMES = {
    "Heartbeat": (
        "020199a169a56e6f727468ab3132372e302e302e313a3101cb40000000000000"
        "00a76c656176696e670304cb4014000000000000"
    ),
    "InFlightUpdate": "020296a16901cb4000000000000000c3919207019192a3742d3109",
    "StateRequest": "020392a169ab3132372e302e302e313a31",
    "StateReply": "020493a169c40178c40179",
    "SharedProbe": "020593a3742d31cb3ff0000000000000c3",
    "InstanceAlive": (
        "020696a169ab3132372e302e302e313a31cb3ff800000000000081a3742d3102c3c2"
    ),
    "ViewHeartbeat": (
        "020799a169ab3132372e302e302e313a310102cb4008000000000000049381a1"
        "6aab3132372e302e302e313a3291a16b05cb401800000000000081a3742d3107"
    ),
    "ViewState": (
        "020898a1690102cb400800000000000094079199a3722d31ac6d656e752e6578"
        "616d706c65a62f6d656e752fc39192a161cb4056800000000000cb4097700000"
        "000000cb4082c00000000000020381a16194a161a72f6865616c7468ccdccb40"
        "07333333333333940102cb4008000000000000cb40100000000000009199a374"
        "2d31a161ac3132372e302e302e313a3830a56e6f72746802c30405cb40180000"
        "0000000091a5736f75746881a169ab3132372e302e302e313a31"
    ),
    "ViewDelta": (
        "020a99a169010203cb4010000000000000c09199a3742d31a161ac3132372e30"
        "2e302e313a3830a56e6f72746802c30405cb401800000000000091a3742d3291"
        "a5736f757468"
    ),
    "ViewRequest": "020992a169ab3132372e302e302e313a31",
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
RECORDED_DIGESTS = (1710228617801480188, 13532897679264957911)


@pytest.mark.parametrize("name", MESSAGES)
def test_recorded_message_is_read_and_written(name):
    frame = bytes.fromhex(MESSAGE_FRAMES[name])
    assert decode_message(frame) == MESSAGES[name]
    assert encode_message(MESSAGES[name]) == frame


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


def test_digests_of_view_and_list_are_as_recorded():
    # Instances whose digests differ send each other the whole view all the time.
    shared = SharedView("j", "127.0.0.1:2")
    shared.apply_state(MESSAGES["ViewState"], now_s=0.0)
    instances = InstanceList()
    instances.replace({"i": "127.0.0.1:1", "j": "127.0.0.1:2"})
    assert (shared.digest(), instances.digest()) == RECORDED_DIGESTS
