"""Decisions of an entry instance: routing, fleet view, target choice, admission."""

from baobabring.entry._admission import (
    Admission,
    Decision,
    ProbeAgain,
    RefuseCall,
    SendCall,
)
from baobabring.entry._cold_start_limiter import ColdStartLimiter
from baobabring.entry._crash_messages import CrashNotice, CrashNotices, TargetCrash
from baobabring.entry._crash_suspects import CrashSuspects
from baobabring.entry._estimates import WorkEstimates
from baobabring.entry._fleet_shares import FleetShares
from baobabring.entry._handover_messages import (
    HandedOverCall,
    HandoverBodyPart,
    HandoverBodyRead,
    HandoverCancel,
    HandoverCheck,
    HandoverResponse,
    HandoverStatus,
    LeavingTarget,
)
from baobabring.entry._handover_peers import HandoverPeer, HandoverPeers
from baobabring.entry._hedging import hedge_at_s
from baobabring.entry._instance_list import InstanceChanges, InstanceList
from baobabring.entry._messages import (
    InstanceAlive,
    LimitNotice,
    TargetLimitNotices,
    ViewDelta,
    ViewHeartbeat,
    ViewRequest,
    ViewState,
)
from baobabring.entry._model import (
    CallerLimits,
    EntryCall,
    EntryConfiguration,
    EntryRoute,
    EntryService,
    EntryTarget,
    LastRegistration,
    LoadReport,
    WeightedService,
)
from baobabring.entry._outcomes import (
    AttemptAnswered,
    AttemptEnd,
    AttemptLost,
    AttemptNotRun,
    BodyEnd,
    BodyEndedError,
    BodyStream,
    CallProblem,
    Delivered,
    EntryOutcome,
    NotRun,
    Rejected,
    TargetResponse,
    Undetermined,
)
from baobabring.entry._probe_rate_budget import ProbeRateBudget
from baobabring.entry._read_schedule import ReadSchedule, reader_sort_key
from baobabring.entry._request_digest import digest_request
from baobabring.entry._retry_budget import FleetRetryBudget
from baobabring.entry._routes import RouteTable, WeightedRoundRobin
from baobabring.entry._service_reachability import (
    ProbeFailure,
    ServiceLost,
    ServiceReachability,
    ServiceRegained,
)
from baobabring.entry._settings import EntrySettings, FleetLimits
from baobabring.entry._shared_view import FleetStatus, SharedView
from baobabring.entry._store_eras import StoreContents, is_newer_era
from baobabring.entry._target_gate import TargetGate
from baobabring.entry._target_limits import (
    LIMIT_LIFETIME_S,
    LimitAbsent,
    LimitAnnouncement,
    LimitChange,
    LimitNamed,
    LimitUnreadable,
    ResponseKind,
    TargetLimits,
)
from baobabring.entry._target_pauses import TargetPauses
from baobabring.entry._target_ranker import Offer, RankerSettings, TargetRanker
from baobabring.entry._target_rate_limiter import TargetRateLimiter
from baobabring.entry._target_table import HealthReport, TargetRecord, TargetTable
from baobabring.entry._view import (
    ConfigurationPublished,
    FleetEvent,
    FleetView,
    TargetRegistered,
    TargetRemoved,
    ZoneReturned,
    ZoneTakenOut,
    get_zones_out,
)

__all__ = [
    "LIMIT_LIFETIME_S",
    "Admission",
    "ProbeAgain",
    "AttemptAnswered",
    "AttemptEnd",
    "AttemptLost",
    "AttemptNotRun",
    "BodyEnd",
    "BodyEndedError",
    "BodyStream",
    "CallProblem",
    "CallerLimits",
    "RankerSettings",
    "ColdStartLimiter",
    "ConfigurationPublished",
    "CrashNotice",
    "CrashNotices",
    "CrashSuspects",
    "Decision",
    "Delivered",
    "EntryCall",
    "EntryConfiguration",
    "EntryOutcome",
    "EntryRoute",
    "EntryService",
    "EntrySettings",
    "EntryTarget",
    "FleetEvent",
    "FleetLimits",
    "FleetRetryBudget",
    "FleetShares",
    "FleetStatus",
    "FleetView",
    "HealthReport",
    "InstanceAlive",
    "InstanceChanges",
    "InstanceList",
    "LastRegistration",
    "LimitAbsent",
    "LimitAnnouncement",
    "LimitChange",
    "LimitNamed",
    "LimitNotice",
    "ResponseKind",
    "LimitUnreadable",
    "LoadReport",
    "NotRun",
    "Offer",
    "ProbeRateBudget",
    "ReadSchedule",
    "RefuseCall",
    "Rejected",
    "RouteTable",
    "SendCall",
    "SharedView",
    "StoreContents",
    "TargetCrash",
    "TargetResponse",
    "TargetGate",
    "TargetLimitNotices",
    "TargetLimits",
    "TargetTable",
    "TargetPauses",
    "TargetRanker",
    "TargetRateLimiter",
    "TargetRecord",
    "TargetRegistered",
    "TargetRemoved",
    "Undetermined",
    "ViewHeartbeat",
    "ViewDelta",
    "ViewRequest",
    "ViewState",
    "WeightedService",
    "WeightedRoundRobin",
    "WorkEstimates",
    "ZoneReturned",
    "ZoneTakenOut",
    "digest_request",
    "hedge_at_s",
    "get_zones_out",
    "is_newer_era",
    "reader_sort_key",
    "ProbeFailure",
    "ServiceLost",
    "ServiceReachability",
    "ServiceRegained",
    "HandedOverCall",
    "HandoverBodyPart",
    "HandoverBodyRead",
    "HandoverCancel",
    "HandoverCheck",
    "HandoverResponse",
    "HandoverStatus",
    "LeavingTarget",
    "HandoverPeer",
    "HandoverPeers",
]
