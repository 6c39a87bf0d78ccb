// Messages between the entry instances of one cell: binary protocol, framed transport.
// Times are remaining milliseconds, because the clocks of different machines are never compared.
// Generated code: thrift -r --gen cpp:no_skeleton -out modules/peer/generated modules/peer/auburndoor.thrift

namespace cpp auburndoor.wire

/** Sent with each call. */
struct CallHeader {
    /** The shared secret of the peers. */
    1: required string secret
}

/** The call was refused before anything was done. Step and reason are names as in logs and metrics. */
exception Refusal {
    1: required string step
    2: required string reason
    3: required string message
}

/** The state of the sender. An absent field has not changed since the previous message on the same connection. */
struct MemberState {
    1: optional string id
    2: optional i64 incarnation
    3: optional string peerAddress
    4: optional string failureDomain
    5: optional string region
    6: optional i64 configurationVersion
    7: optional bool isLeaving
    8: optional i64 sequence
    9: optional list<string> services
    /** Free places, queued requests and places on workers in use, of each service in turn; 32767 stands for that and more. */
    10: optional list<i16> places
}

struct Amounts {
    1: i64 milliCores
    2: i64 memoryMiB
    3: i64 accelerators
    4: i64 slots
    5: i64 connections
}

struct Problem {
    1: string step
    2: string peer
    3: string reason
    4: string message
}

struct ForwardedRequest {
    1: string id
    2: string team
    3: string serviceId
    4: string kind
    5: i32 priority
    6: Amounts need
    7: string idempotencyKey
    8: bool isRepeatable
    9: i64 remainingMs
    10: i64 waitedMs
    11: i32 hopCount
    12: binary body
}

struct ForwardedOutcome {
    1: i32 status
    2: binary answer
    3: Problem failure
    4: i64 retryAfterMs
    5: string worker
    6: i64 waitedMs
}

struct Announcement {
    1: i64 version
    2: string digest
    3: binary text
}

struct HeldPlace {
    1: string worker
    2: string holdId
}

struct HoldOrder {
    1: string job
    2: string team
    3: string serviceId
    4: Amounts need
    5: i32 count
    6: i64 timeLimitMs
}

struct StartOrder {
    1: string id
    2: i64 epoch
    3: string team
    4: string serviceId
    5: Amounts need
    6: i64 latestStartMs
    7: i64 leaseMs
    8: binary body
}

struct StartResult {
    1: i32 status
    2: binary answer
    3: Problem failure
}

/** Empty fields are left out: most reports only say that a task runs. */
struct TaskReport {
    1: string id
    2: i32 state
    3: optional Amounts need
    4: optional string team
    5: optional binary answer
    6: optional Amounts measuredUse
}

service PeerService {
    MemberState heartbeat(1: CallHeader header, 2: MemberState sender) throws (1: Refusal refusal)
    ForwardedOutcome execute(1: CallHeader header, 2: ForwardedRequest request) throws (1: Refusal refusal)
    i64 announce(1: CallHeader header, 2: Announcement announcement) throws (1: Refusal refusal)
    Announcement fetchConfiguration(1: CallHeader header) throws (1: Refusal refusal)
    list<HeldPlace> hold(1: CallHeader header, 2: HoldOrder order) throws (1: Refusal refusal)
    void release(1: CallHeader header, 2: list<HeldPlace> holds) throws (1: Refusal refusal)
    StartResult startHeld(1: CallHeader header, 2: HeldPlace place, 3: StartOrder start) throws (1: Refusal refusal)
    TaskReport queryTask(1: CallHeader header, 2: string worker, 3: string task) throws (1: Refusal refusal)
    TaskReport cancelTask(1: CallHeader header, 2: string worker, 3: string task) throws (1: Refusal refusal)
    void notifyJob(1: CallHeader header, 2: string shard, 3: string job) throws (1: Refusal refusal)
    /** The tasks of a job that run on the callee's workers, as their last reports say: each id without "<job>/". */
    list<string> runningTasks(1: CallHeader header, 2: string job) throws (1: Refusal refusal)
}
