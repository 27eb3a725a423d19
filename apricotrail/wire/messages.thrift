// Messages between apricotrail's own processes (compact protocol).
// Field numbers are never reused; a reader skips fields that it does not know.

enum TaskState {
  DONE = 1,
  FAILED = 2,
  NOT_RUN = 3,
  MAY_HAVE_RUN = 4,
  RUNNING = 5,
}

enum Reason {
  NONE = 0,
  FULL = 1,
  STALE_CONFIGURATION = 2,
  ZONE_OUT = 3,
  TARGET_LEAVING = 4,
  SEEN = 5,
  WRONG_INCARNATION = 6,
  FENCED = 7,
  EXPIRED = 8,
  CANCELLED = 9,
  TARGET_ERROR = 10,
  TARGET_SILENT = 11,
  TARGET_UNREACHABLE = 12,
  WRONG_LENGTH = 13,
  AGENT_LOST = 14,
  UNKNOWN_TARGET = 15,
  LEDGER_FULL = 16,
  STOPPING = 17,
}

// ---- links ----------------------------------------------------------------------------------

struct Identity {
  1: string name,
  2: string role,
  3: string zone,
  4: i64 incarnation,
  5: string address,
}

struct Hello {
  1: i32 wire_version,
  2: Identity identity,
  3: binary nonce,
  4: string environment,
}

struct Proof {
  1: binary digest,
}

struct Load {
  1: string target,
  2: i32 slots,
  3: i32 free_slots,
  4: i32 running,
  5: bool accepting,
  6: optional i64 received,   // tasks received in StartTasks on the link that carries this load
}

// Room and health of one runner, as its agent sees them. Rooms count what is queued, starting, running
// and being stopped.
struct RunnerLoad {
  1: string runner,
  2: i64 boot,                // start of the runner, wall clock in milliseconds
  3: string pool,
  4: string zone,
  5: list<string> labels,
  6: i32 cpu_millis,
  7: i32 memory_mb,
  8: i32 free_cpu_millis,
  9: i32 free_memory_mb,
  10: i32 queued_cpu_millis,
  11: bool accepting,         // false: leaving, zone out of service, or no runner announced
  12: i32 trial_runs,         // runs that an unhealthy runner may still take; -1 for a healthy one
  13: double slowness,        // run time over estimate, smoothed; 0 for unknown
  14: i64 received,           // RunStart records received on the link that carries this load
  15: i64 clock_ms,           // the agent's own clock, which counts suspended time
  16: i32 queued_runs,
  17: i32 next_start_ms,      // predicted wait of one more run of usual size behind the queue
  18: i32 urgent_start_ms,    // the same for a run that is due soon: behind such runs only
  19: i32 start_spacing_ms,   // predicted time between two starts while the runner is full
  20: optional i32 idle_ms,   // predicted time until every run that is there now has ended
  21: optional i32 isolated_runs, // isolated runs, queued or running; others wait until they end
}

// echo is the highest sequence received from the peer: the sender of that sequence knows that this
// message was written after it. config_age_ms is the age of the confirmation of config_version.
struct Heartbeat {
  1: i64 sequence,
  2: i64 echo,
  3: i64 config_version,
  4: i32 config_age_ms,
  5: optional list<Load> loads,
  6: optional i64 ready_epoch,
  7: optional bool stopping,
  8: optional i64 confirmed_version,  // every node behind the sender has at least this version
  9: optional RunnerLoad runner_load,  // from the agent beside a runner
  10: optional i64 uptime_ms, // from control: since its process started, on its steady clock
}

// ---- configuration --------------------------------------------------------------------------

struct ConfigurationItem {
  1: string key,
  2: optional binary value,   // JSON; absent: the item is removed
}

struct ConfigurationRequest {
  1: i64 version,             // the version that the asking node has, 0 for none
  2: optional list<string> prefixes,  // only items whose key begins with one of these
  3: optional bool follow,    // send later changes on this link, too
}

// Processes linked to a control replica.
struct NodeList {
  1: list<Identity> nodes,
}

// Asks a control replica for the processes of these roles that are linked to it, and for changes.
struct NodesRequest {
  1: list<string> roles,
}

// Changes of the linked processes since the last such message on this link.
struct NodeChanges {
  1: list<Identity> added,    // new ones, and those whose identity changed
  2: list<string> removed,    // names
  3: optional bool first,     // the first answer to a request: nothing was listed before
  4: optional list<string> retired, // all replicas that the group removed, by name; unset: no change
}

// base_version 0: items are the whole configuration, otherwise what changed since base_version.
struct ConfigurationChange {
  1: i64 base_version,
  2: i64 version,
  3: list<ConfigurationItem> items,
}

// ---- announcements --------------------------------------------------------------------------

struct Announcement {
  1: string target,           // reference in any scheme
  2: string address,          // host:port of the target's HTTP server
  3: i32 slots,
  4: i32 connections,
  5: i64 incarnation,         // grows with each start of the target
  6: i32 lease_ms,
  7: bool leaving,
  8: optional bool has_agent,
}

struct ShareAnnouncements {
  1: list<Announcement> announcements,
}

// ---- tasks ----------------------------------------------------------------------------------

struct TaskStart {
  1: i32 task,
  2: i32 attempt,
  3: binary body,
}

// job is "caller/submission". want: how many more queued tasks the owner could start here.
struct StartTasks {
  1: string job,
  2: string target,
  3: string owner,
  4: i64 epoch,
  5: i64 agent_incarnation,
  6: i32 budget_ms,
  7: list<TaskStart> tasks,
  8: i32 want,
}

struct TaskOutcome {
  1: i32 task,
  2: i32 attempt,
  3: TaskState state,
  4: Reason reason,
  5: i32 answer_length,
  6: optional binary answer,
  7: i32 run_ms,
  8: optional string detail,
}

// granted: slots now reserved for the receiving entry.
struct TaskOutcomes {
  1: string job,
  2: string target,
  3: i64 agent_incarnation,
  4: list<TaskOutcome> outcomes,
  5: Load load,
  6: i32 granted,
}

struct AttemptKey {
  1: i32 task,
  2: i32 attempt,
}

// Asked after a lost link: an attempt that the agent never saw is tombstoned and reported NOT_RUN.
struct ResolveAttempts {
  1: string job,
  2: string target,
  3: i64 epoch,
  4: i64 agent_incarnation,
  5: list<AttemptKey> attempts,
}

struct AttemptStates {
  1: string job,
  2: string target,
  3: i64 agent_incarnation,
  4: list<TaskOutcome> outcomes,
  5: optional i64 ledger_age_ms,  // how long the answering ledger has been kept
}

// Raises the lowest epoch that the agent accepts for the job and asks for all it knows of the job.
struct FenceJob {
  1: string job,
  2: string target,
  3: i64 epoch,
  4: string owner,
}

struct StopTasks {
  1: string job,
  2: string target,
  3: i64 epoch,
  4: list<i32> tasks,         // empty: every task of the job
}

// An entry with queued work registers for free slots; want 0 withdraws.
struct SlotWant {
  1: string target,
  2: i64 agent_incarnation,
  3: i32 want,
}

struct SlotOffer {
  1: string target,
  2: i64 agent_incarnation,
  3: i32 granted,
  4: Load load,
}

// One job of an agent's ledger, for the rebuilding of claims.
struct LedgerJob {
  1: string job,
  2: string owner,
  3: i64 epoch,
}

struct LedgerRequest {
  1: string target,
}

struct Ledger {
  1: string target,
  2: i64 agent_incarnation,
  3: i64 age_ms,              // how long this ledger has been kept
  4: list<LedgerJob> jobs,
}

// ---- runs of leased runners ---------------------------------------------------------------------

enum RunState {
  DONE = 1,
  FAILED = 2,
  STOPPED = 3,
  LOST = 4,                   // certainly ended: lease lapsed or runner restarted
  NOT_RUN = 5,                // never started, and never will be
}

enum RunReason {
  NONE = 0,
  FULL = 1,
  CLOSED = 2,                 // runner leaving, zone out of service or not announced
  EXPIRED = 3,                // the order came too late
  SUPERSEDED = 4,             // the runner has seen this run or a higher one
  UNHEALTHY = 5,
  STALLED = 6,
  OWNER_SILENT = 7,
  STOPPING = 8,
  UNKNOWN_RUN = 9,
  OVERLOADED = 10,
}

struct RunKey {
  1: string task,
  2: i32 run,
}

// valid_until_ms: on the agent's clock; an order read later starts nothing.
struct RunStart {
  1: string task,
  2: i32 run,
  3: binary spec,
  4: i32 cpu_millis,
  5: i32 memory_mb,
  6: i32 estimate_ms,
  7: i32 priority,
  8: i32 wait_ms,             // longest time in the agent's queue
  9: i32 due_ms,              // from now: latest start that keeps the job's objective
  10: i32 late_due_ms,        // from now: latest start with which the job is late, but still of use
  11: optional bool isolated, // starts only while nothing else runs, and nothing starts beside it
  12: optional i32 max_per_runner, // most tasks of its step that run here at the same time
}

struct StartRuns {
  1: list<RunStart> starts,
  2: i64 valid_until_ms,
}

struct StopRuns {
  1: list<RunKey> runs,
}

// Sent on each new link: the runs that the owner believes to be at this agent. All others of the
// same owner are stopped; those that the agent never saw are answered NOT_RUN.
// The other lists are sent, also empty, until the agent is known to have them. Without written_off the
// owner is of an older release, or may have written off any run that it doesn't claim.
struct ClaimRuns {
  1: list<RunStart> runs,
  2: optional list<RunKey> written_off, // counted as lost: their tasks may have been started again
  3: optional list<RunKey> taken,       // done, and taken in by the owner
}

struct RunOutcome {
  1: string task,
  2: i32 run,
  3: RunState state,
  4: RunReason reason,
  5: i32 run_ms,
  6: i32 highest_run,         // with SUPERSEDED: the highest run known
  7: i32 waited_ms,
}

struct RunOutcomes {
  1: list<RunOutcome> outcomes,
  2: RunnerLoad load,
}

// The owner has taken these outcomes in: the agent may take note of the ends at the runner.
struct OutcomesTaken {
  1: list<RunKey> runs,
}

// A run that was at a runner when the runner was lost.
struct LostRun {
  1: string task,
  2: i32 run,
  3: i32 running_ms,          // from the order of its start until the runner was lost
  4: bool alone,              // nothing else was at the runner then
}

// Sent to every linked dispatcher when the runs at a runner are lost, before their owners get the
// outcomes, and again on each new link. is_down: the runner refused or broke calls, so it has
// probably crashed; otherwise it is only silent.
struct RunnerLost {
  1: i64 boot,
  2: list<LostRun> runs,
  3: bool is_down,
  4: i32 age_ms,
}

// ---- claims ---------------------------------------------------------------------------------

struct ClaimRecord {
  1: string job,
  2: string owner,
  3: i64 owner_incarnation,
  4: i64 epoch,
  5: binary digest,           // SHA-256 of the submission's canonical body
  6: i64 age_ms,
  7: optional binary answer,  // JSON answer once finished
  8: optional i32 tasks,      // number of tasks of the job
}

struct Claim {
  1: i64 view_epoch,
  2: ClaimRecord record,
}

enum ClaimVerdict {
  GRANTED = 1,
  HELD = 2,                   // another owner holds it: record says who
  MISMATCH = 3,               // same id, other digest
  WRONG_VIEW = 4,
  NOT_READY = 5,
  UNCERTAIN = 6,              // may have run before the view was lost
  FULL = 7,
}

struct ClaimReply {
  1: ClaimVerdict verdict,
  2: i64 view_epoch,
  3: optional ClaimRecord record,
}

struct CopyAnswer {
  1: i64 view_epoch,
  2: ClaimRecord record,
}

struct CopyAnswerReply {
  1: bool stored,
}

struct ClaimsRequest {
  1: i64 sealed_epoch,        // the answering member accepts no more claims in this epoch
  2: string after,            // continue after this job, empty from the start
}

struct CopyClaims {
  1: i64 epoch,
  2: bool ready,
  3: list<ClaimRecord> records,
  4: bool more,
  5: optional i64 lost_wall_ms,  // claims older than this may be missing here
}

struct AttachJob {
  1: string job,
  2: i32 wait_ms,
}

struct JobAnswer {
  1: string job,
  2: bool known,
  3: optional binary answer,  // absent: still running
  4: optional ClaimRecord record,  // what a member that is not the owner knows
}

struct CancelJob {
  1: string job,
}

struct CancelReply {
  1: bool known,
}

struct ReportRequest {
  1: i32 windows,
}

struct Report {
  1: binary body,             // JSON
}

// ---- control --------------------------------------------------------------------------------

struct LogEntry {
  1: i64 index,
  2: i64 term,
  3: binary command,
}

struct Vote {
  1: i64 term,
  2: string candidate,
  3: i64 last_index,
  4: i64 last_term,
  5: bool pre_vote,
  6: optional bool transfer,  // the leader asked for this election
}

struct VoteReply {
  1: i64 term,
  2: bool granted,
  3: bool pre_vote,
}

struct Append {
  1: i64 term,
  2: string leader,
  3: i64 previous_index,
  4: i64 previous_term,
  5: list<LogEntry> entries,
  6: i64 commit_index,
  7: i64 round,               // echoed in the reply
  8: i32 confirmed_age_ms,    // age of the leader's last quorum round
  9: optional i64 echo,       // newest AppendReply.sequence that the leader got from the receiver
}

struct AppendReply {
  1: i64 term,
  2: bool accepted,
  3: i64 match_index,
  4: i64 round,
  5: optional i64 sequence,   // the sender notes when it wrote this number
}

struct InstallSnapshot {
  1: i64 term,
  2: string leader,
  3: i64 last_index,
  4: i64 last_term,
  5: i64 offset_bytes,
  6: binary chunk,
  7: bool last,
}

struct SnapshotReply {
  1: i64 term,
  2: i64 offset_bytes,
  3: bool installed,
  4: optional i64 last_index, // of the snapshot
}

struct TimeoutNow {
  1: i64 term,
}

struct PutDocument {
  1: binary text,
  2: binary sha256,
  3: bool trial,              // accept in the trial environment
  4: optional string acceptance,
}

struct SetZoneState {
  1: string zone,
  2: bool in_service,
}

struct SetTargetState {
  1: string target,
  2: bool leaving,
}

struct ViewMember {
  1: string name,
  2: i64 incarnation,
  3: string zone,
  4: string address,
}

// A queue document in the project's form, and the operator's own bytes for reading it back.
struct PutQueues {
  1: i64 version,
  2: binary document,         // zlib
  3: binary source,           // zlib
}

struct InstallView {
  1: i64 epoch,               // must be the present epoch + 1
  2: list<ViewMember> members,
  3: i64 lost_wall_ms,        // 0: the previous view's claims can be copied
}

struct AssignHost {
  1: string target,
  2: string entry,
  3: i64 incarnation,
  4: i64 epoch,               // must be the present host epoch + 1
  5: optional string released_by,            // the present host, which has stopped its agent
  6: optional i64 released_by_incarnation,
}

struct ChangeMember {
  1: string name,
  2: string address,
  3: string identity,         // identity of the replica's data folder
  4: string action,           // add_learner, promote, remove
}

struct Command {
  1: string request_id,
  2: string author,
  3: i64 wall_ms,
  4: optional i64 expect,     // configuration version that the change was based on
  5: optional PutDocument put_document,
  6: optional SetZoneState set_zone_state,
  7: optional SetTargetState set_target_state,
  8: optional InstallView install_view,
  9: optional AssignHost assign_host,
  10: optional ChangeMember change_member,
  11: optional PutQueues put_queues,
}

struct Propose {
  1: Command command,
  2: optional i64 based_on,   // log index that the sender had applied when an order came to it
}

struct ProposeReply {
  1: bool accepted,
  2: i64 version,
  3: binary answer,           // JSON; on refusal {kind, message, remedy, ...}
  4: optional string leader,  // address to ask instead; nothing was recorded
}

struct StatusRequest {
  1: string what,             // status, history, document, forced
  2: i64 number,
}

struct StatusReply {
  1: binary body,             // JSON, or the document's exact bytes
}
