// Interfaces to the services that the scheduler depends on. The platform adapter implements them, and
// tests use fakes. Every call invokes its slot exactly once, from the event loop.
//
// Index of this file
// [SECTION] Call outcomes
// [SECTION] Journal store
// [SECTION] Ownership groups
// [SECTION] Directory
// [SECTION] Workers
// [SECTION] Machines

#pragma once

#include "catalog/catalog.h"

#include <functional>
#include <variant>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Call outcomes
//-----------------------------------------------------------------------------

// Outcome of a call that changes something, as far as the sender can tell.
enum class CallOutcome {
    Done,
    Refused, // Not executed. The same call may be sent again.
    Fenced,  // Not executed: a newer owner has taken over.
    Unknown, // It may have been executed, or may still be, seconds later.
};

//-----------------------------------------------------------------------------
// [SECTION] Journal store
//-----------------------------------------------------------------------------

struct KeyedRecord {
    std::string key;
    std::string value; // Empty: removes the key.
};

// Identifies one append of one owner, so that a retry with the same sequence number has no effect.
struct JournalWriter {
    std::string  pool;          // The producer: each pool has one owner, which writes its records.
    std::int64_t partition = 0; // Partition of the journal, shared by several pools.
    std::int64_t epoch = 0;     // Fencing token of the owner.
    std::int64_t sequence = 0;  // 1 for the first append of an epoch. 0: for fence().
};

class JournalStore
{
public:
    using OutcomeSlot = std::function<void(CallOutcome)>;
    using RecordsSlot = std::function<void(absl::StatusOr<std::vector<KeyedRecord>>)>;

    virtual ~JournalStore() = default;

    // Makes the store refuse all later appends of this pool with a lower epoch.
    virtual auto fence(const JournalWriter &writer, OutcomeSlot slot) -> void = 0;
    virtual auto append(const JournalWriter &writer, const std::vector<KeyedRecord> &records,
                        OutcomeSlot slot) -> void = 0;
    // Reads the newest record of each key, of all pools of the partition.
    virtual auto readNewest(std::int64_t partition, RecordsSlot slot) -> void = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Ownership groups
//-----------------------------------------------------------------------------

struct Membership {
    std::int64_t           generation = 0; // Increases with each change of the group's members.
    std::set<std::int64_t> partitions;     // Assigned to the caller.
};

class OwnershipGroup
{
public:
    using JoinSlot = std::function<void(absl::StatusOr<Membership>)>;
    using HeldSlot = std::function<void(absl::StatusOr<bool>)>;
    using OwnersSlot = std::function<void(absl::StatusOr<std::map<std::int64_t, std::string>>)>;

    virtual ~OwnershipGroup() = default;

    // Joins the group, or renews the membership for `ttlMs`. Passing the generation of an answer
    // confirms that the member has given up all partitions that this answer didn't list. 0: none yet.
    virtual auto join(const std::string &member, std::int64_t generation, TimeMs ttlMs,
                      JoinSlot slot) -> void = 0;
    virtual auto leave(const std::string &member, std::function<void(bool isDone)> slot)
        -> void = 0;
    // Whether the member has held the partition without interruption since this generation.
    virtual auto checkHeld(const std::string &member, std::int64_t partition,
                           std::int64_t generation, HeldSlot slot) -> void = 0;
    virtual auto owners(OwnersSlot slot) -> void = 0; // Current owner of each owned partition.
};

//-----------------------------------------------------------------------------
// [SECTION] Directory
//-----------------------------------------------------------------------------

struct WorkerReport {
    std::string           id; // Of this incarnation of the worker; a restarted one has another.
    std::string           pool;
    std::string           address;
    std::string           zone;
    ResourceSet           capacity;
    std::set<std::string> labels; // Machine kind and rack. Matched against StepSpec::requiredLabel.
    std::string           rack;   // Empty: unknown.
    bool                  isDraining = false;
    TimeMs                drainRemainingMs = 0; // Least time until it shuts down, in ms. Not used.
    std::int64_t          startedAtMs = 0;      // Start of the worker, wall clock. 0: not reported.

    auto operator==(const WorkerReport &) const -> bool = default;
};

// Return ok, or an error that names what is out of range. Any writer may leave entries in the directory, so
// every decoder checks what it has read.
auto checkWorker(const WorkerReport &worker) -> absl::Status;

// A maintenance wave that operators have requested.
struct WaveOrder {
    std::string              name;
    std::vector<std::string> machines;      // Names of the machines to maintain.
    TimeMs                   withinMs = 0;  // Time limit of the whole wave, in ms. 0: not given.
    std::int64_t             maxAtOnce = 1; // Upper limit of machines in maintenance at a time.
};

auto checkWave(const WaveOrder &wave) -> absl::Status; // As checkWorker().

// Changes in the directory.
struct CatalogChanged {
    CatalogRules rules;
};
struct ZoneEvacuation {
    std::string zone;
    bool        isOut = false; // True: taken out of service. False: back in service.
};
struct WaveChanged {
    std::string              name;
    std::optional<WaveOrder> order; // Nothing: the wave was withdrawn.
};
struct WorkerChanged {
    std::string                 id;
    std::optional<WorkerReport> report; // Nothing: its directory entry was removed.
};
using DirectoryChange = std::variant<CatalogChanged, ZoneEvacuation, WaveChanged, WorkerChanged>;

struct DirectoryPage {
    std::vector<DirectoryChange> changes;
    bool                         isComplete = false; // Has all entries; replaces all earlier ones.
    bool                         isCurrent = false;  // Includes the newest change.
    Offset                       next = 0;           // Where the next read() starts.
};

enum class DirectorySource { Operators, Workers };

class Directory
{
public:
    using PageSlot = std::function<void(absl::StatusOr<DirectoryPage>)>;

    virtual ~Directory() = default;

    // Reads the changes from offset `from` on, and waits up to `waitMs` for the first one. Returns all
    // entries as one page (isComplete) if the store no longer has that offset, and for from = -1.
    virtual auto read(DirectorySource source, Offset from, TimeMs waitMs, PageSlot slot)
        -> void = 0;
    virtual auto writeWaveState(const std::string &wave, bool isCompleted,
                                std::function<void(CallOutcome)> slot) -> void = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Workers
//-----------------------------------------------------------------------------

// In orders and replies, `run` numbers the starts of a task from 1, and `token` is the fencing token of
// the pool's owner.

// The incarnation of a worker that a call is meant for. Another one at this address refuses the call.
struct WorkerPeer {
    std::string id;
    std::string address;
};

struct StartOrder {
    TaskRef      task;
    std::int64_t run = 0;
    std::string  payload;          // JobSpec::payload.
    std::string  checkpoint;       // Where to resume. Empty: from the beginning.
    std::string  ticket;           // From the advice service. Empty: none. Never set so far.
    TimeMs       leaseUntilMs = 0; // New end of the worker's lease, on the worker's clock.
    std::int64_t token = 0;
    TimeMs       sendBy = 0; // Not sent later, on bootMs(): the owner's term ends. 0: no limit.
};

struct StopOrder {
    TaskRef      task;
    std::int64_t run = 0;
    std::int64_t token = 0;
};

// Throttles a filler task, so that it doesn't slow down a serving task on the same worker.
struct PaceOrder {
    TaskRef      task;
    std::int64_t run = 0;
    std::int64_t percent = 100; // Of full speed. 0: paused.
    std::int64_t token = 0;
};

// Extends a worker's lease and polls what it runs and which runs have ended.
struct HoldOrder {
    std::optional<TimeMs> leaseUntilMs; // New end, on the worker's clock. Nothing: not extended.
    std::int64_t          token = 0;
    std::int64_t          acknowledgedEnd = 0; // The worker forgets ends up to this number.
    TimeMs                waitMs = 0; // Longest wait for an end to report. 0: replies immediately.
};

// Why a worker refused an order.
enum class StartRefusal {
    None,            // Not refused.
    Fenced,          // It has seen a higher fencing token.
    StaleRun,        // This run, or a later one of the task, was already stopped or has ended.
    Late,            // The lease in the order has already expired.
    NoCapacity,      // The task doesn't fit.
    Ticket,          // It doesn't accept the ticket.
    Unhealthy,       // Overloaded, unavailable, or not reached.
    Invalid,         // Any other reason, or an unknown one.
    OtherIncarnation // Another worker incarnation responds at this address.
};

struct OrderReply {
    CallOutcome  outcome = CallOutcome::Unknown;
    StartRefusal refusal = StartRefusal::None;
    TimeMs       clockMs = 0; // The worker's clock. 0: not reported.
};

struct RunningRow {
    TaskRef      task;
    std::int64_t run = 0;
    std::string  checkpoint;  // Latest one. Empty: none.
    std::int64_t percent = 0; // Of full speed. Below 100: throttled, or an unbounded task starting.
    std::int64_t usage = 0;   // Serving tasks: tail latency in ms. Others: cpu in use. 0: unknown.
};

struct EndedRow {
    std::int64_t number = 0; // Counts the ends of this incarnation of the worker from 1.
    TaskRef      task;
    std::int64_t run = 0;
    RunEnd       end = RunEnd::LeaseExpired;
    std::string  checkpoint; // Latest one. Empty: none.
};

struct HoldReply {
    CallOutcome  outcome = CallOutcome::Unknown;
    bool         isOtherIncarnation = false; // Another worker incarnation responds there.
    TimeMs       clockMs = 0;                // The worker's clock. 0: not reported.
    std::int64_t startedAtMs = 0; // As in WorkerReport. Another value: restarted, without runs.
    std::vector<RunningRow> running;
    std::vector<EndedRow>   ended; // Ends that aren't acknowledged, by number, at most one page.
};

class WorkerService
{
public:
    using OrderSlot = std::function<void(OrderReply)>;
    using HoldSlot = std::function<void(HoldReply)>;

    virtual ~WorkerService() = default;

    // Starts a run. A repeat of the same run has no further effect.
    virtual auto start(const WorkerPeer &worker, const StartOrder &order, OrderSlot slot)
        -> void = 0;
    virtual auto stop(const WorkerPeer &worker, const StopOrder &order, OrderSlot slot) -> void = 0;
    virtual auto pace(const WorkerPeer &worker, const PaceOrder &order, OrderSlot slot) -> void = 0;
    virtual auto hold(const WorkerPeer &worker, const HoldOrder &order, HoldSlot slot) -> void = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Machines
//-----------------------------------------------------------------------------

enum class MachineState {
    Up,
    Moving, // To another pool.
    Maintenance,
    Down // Also any unrecognized state.
};

struct MachineEntry {
    std::string           name;
    std::string           pool;
    std::string           zone;
    std::string           worker; // Id of the worker incarnation that runs on it. Empty: none.
    std::set<std::string> labels;
    MachineState          state = MachineState::Down;
};

auto checkMachine(const MachineEntry &machine) -> absl::Status; // As checkWorker().

// Why the machine service refused a call.
enum class MachineRefusal {
    None,      // Not refused.
    Fenced,    // It has seen a higher fencing token.
    Busy,      // The machine can't be moved or maintained now.
    WrongWave, // The wave doesn't include the machine.
    Invalid,   // Any other reason: a retry won't help.
    Throttled  // Overloaded, unavailable, or not reached.
};

struct MachineReply {
    CallOutcome    outcome = CallOutcome::Unknown;
    MachineRefusal refusal = MachineRefusal::None;
};

// The coordinator that sends a call.
struct CoordinatorIdentity {
    std::string  name;
    std::int64_t token = 0;  // Fencing token.
    TimeMs       sendBy = 0; // Not sent later, on bootMs(): its term ends. 0: no limit.
};

class MachineService
{
public:
    using ListSlot = std::function<void(absl::StatusOr<std::vector<MachineEntry>>)>;
    using OrderSlot = std::function<void(MachineReply)>;

    virtual ~MachineService() = default;

    virtual auto list(ListSlot slot) -> void = 0;
    virtual auto move(const std::string &machine, const std::string &pool,
                      const CoordinatorIdentity &coordinator, OrderSlot slot) -> void = 0;
    virtual auto maintain(const std::string &machine, const std::string &wave,
                          const CoordinatorIdentity &coordinator, OrderSlot slot) -> void = 0;
};

} // namespace peridotwalk
