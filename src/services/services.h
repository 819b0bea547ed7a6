// What the scheduler expects of its surroundings, as interfaces. The adapter of a platform implements
// them; tests put fakes in their place. Every call answers exactly once, from the event loop.
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

// What is known of a call that changes something.
enum class CallOutcome {
    Done,
    Refused, // Nothing was done, and the same call may be sent again.
    Fenced,  // A newer owner has taken over.
    Unknown, // It may have been done, or may be done seconds later.
};

//-----------------------------------------------------------------------------
// [SECTION] Journal store
//-----------------------------------------------------------------------------

struct KeyedRecord {
    std::string key;
    std::string value; // Empty in a record read from the log: the key was removed.
};

// Identifies one append of one owner. A repeat with the same sequence has no further effect.
struct JournalWriter {
    std::string  pool; // Each pool has one writer at a time.
    std::int64_t partition = 0;
    std::int64_t epoch = 0;    // Fencing token of the owner.
    std::int64_t sequence = 0; // 1 for the first append of an epoch. 0: only sets the epoch.
};

class JournalStore
{
public:
    using OutcomeSlot = std::function<void(CallOutcome)>;
    using RecordsSlot = std::function<void(absl::StatusOr<std::vector<KeyedRecord>>)>;

    virtual ~JournalStore() = default;

    // Refuses appends of lower epochs of this pool from now on.
    virtual auto fence(const JournalWriter &writer, OutcomeSlot slot) -> void = 0;
    virtual auto append(const JournalWriter &writer, const std::vector<KeyedRecord> &records,
                        OutcomeSlot slot) -> void = 0;
    virtual auto readNewest(std::int64_t partition, RecordsSlot slot) -> void = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Ownership groups
//-----------------------------------------------------------------------------

struct Membership {
    std::int64_t           generation = 0; // Rises with each change of the group.
    std::set<std::int64_t> partitions;     // Held by the caller.
};

class OwnershipGroup
{
public:
    using JoinSlot = std::function<void(absl::StatusOr<Membership>)>;
    using OwnersSlot = std::function<void(absl::StatusOr<std::map<std::int64_t, std::string>>)>;

    virtual ~OwnershipGroup() = default;

    // Joins or stays. Naming a generation gives up what it no longer lists.
    virtual auto join(const std::string &member, std::int64_t generation, TimeMs ttlMs,
                      JoinSlot slot) -> void = 0;
    virtual auto leave(const std::string &member, std::function<void(bool isDone)> slot)
        -> void = 0;
    virtual auto owners(OwnersSlot slot) -> void = 0; // Members by partition.
};

//-----------------------------------------------------------------------------
// [SECTION] Directory
//-----------------------------------------------------------------------------

struct WorkerReport {
    std::string           id; // Of one life of a worker.
    std::string           pool;
    std::string           address;
    std::string           zone;
    ResourceSet           capacity;
    std::set<std::string> labels; // Kind and rack, for steps that require one.
    std::string           rack;
    bool                  isDraining = false;
    TimeMs                drainRemainingMs = 0; // At least, while draining.
    std::int64_t          startedAtMs = 0; // Wall clock. Another value: it started again, empty.
};

// A wave of maintenance that operators ask for.
struct WaveOrder {
    std::string              name;
    std::vector<std::string> machines;
    TimeMs                   withinMs = 0;
    std::int64_t             maxAtOnce = 1;
};

// A change in the directory.
struct CatalogChanged {
    CatalogRules rules;
};
struct ZoneEvacuation {
    std::string zone;
    bool        isOut = false;
};
struct WaveChanged {
    std::string              name;
    std::optional<WaveOrder> order; // Nothing: withdrawn.
};
struct WorkerChanged {
    std::string                 id;
    std::optional<WorkerReport> report; // Nothing: its entry is gone.
};
using DirectoryChange = std::variant<CatalogChanged, ZoneEvacuation, WaveChanged, WorkerChanged>;

struct DirectoryPage {
    std::vector<DirectoryChange> changes;
    bool                         isComplete = false; // Replaces everything known from this source.
    bool                         isCurrent = false;  // Nothing newer was there.
    Offset                       next = 0;           // Where to read on.
};

enum class DirectorySource { Operators, Workers };

class Directory
{
public:
    using PageSlot = std::function<void(absl::StatusOr<DirectoryPage>)>;

    virtual ~Directory() = default;

    // Reads what came from `from` on; waits up to `waitMs` for something. Starts over with a whole
    // page where the history is gone, and at from = -1.
    virtual auto read(DirectorySource source, Offset from, TimeMs waitMs, PageSlot slot)
        -> void = 0;
    virtual auto writeWaveState(const std::string &wave, bool isCompleted,
                                std::function<void(CallOutcome)> slot) -> void = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Workers
//-----------------------------------------------------------------------------

struct WorkerPeer {
    std::string id;
    std::string address;
};

struct StartOrder {
    TaskRef      task;
    std::int64_t run = 0;
    std::string  payload;
    std::string  checkpoint;       // Empty: from the beginning.
    std::string  ticket;           // Of the advice service. Empty: none is needed.
    TimeMs       leaseUntilMs = 0; // On the worker's clock.
    std::int64_t token = 0;        // Fencing token.
    TimeMs       sendBy = 0;       // The owner's term ends then, on its steady clock.
};

struct StopOrder {
    TaskRef      task;
    std::int64_t run = 0;
    std::int64_t token = 0;
};

struct PaceOrder {
    TaskRef      task;
    std::int64_t run = 0;
    std::int64_t percent = 100;
    std::int64_t token = 0;
};

struct HoldOrder {
    std::optional<TimeMs> leaseUntilMs; // Extends the lease of everything on the worker.
    std::int64_t          token = 0;
    std::int64_t          acknowledgedEnd = 0; // Ends up to this number are recorded.
    TimeMs                waitMs = 0;          // The answer waits for an end.
};

enum class StartRefusal {
    None,
    Fenced,
    StaleRun,
    Late,
    NoCapacity,
    Ticket,
    Unhealthy,
    Invalid,
    OtherIncarnation
};

struct OrderReply {
    CallOutcome  outcome = CallOutcome::Unknown;
    StartRefusal refusal = StartRefusal::None;
    TimeMs       clockMs = 0; // The worker's. 0: not told.
};

struct RunningRow {
    TaskRef      task;
    std::int64_t run = 0;
    std::string  checkpoint;
    std::int64_t percent = 0;
    std::int64_t usage = 0; // Tail latency in ms of a serving task, else cpu in use.
};

struct EndedRow {
    std::int64_t number = 0; // Rises by one for each end of a worker's life.
    TaskRef      task;
    std::int64_t run = 0;
    RunEnd       end = RunEnd::LeaseExpired;
    std::string  checkpoint;
};

struct HoldReply {
    CallOutcome             outcome = CallOutcome::Unknown;
    bool                    isOtherIncarnation = false; // Another worker answers at this address.
    TimeMs                  clockMs = 0;
    std::int64_t            startedAtMs = 0;
    std::vector<RunningRow> running;
    std::vector<EndedRow>   ended;
};

class WorkerService
{
public:
    using OrderSlot = std::function<void(OrderReply)>;
    using HoldSlot = std::function<void(HoldReply)>;

    virtual ~WorkerService() = default;

    virtual auto start(const WorkerPeer &worker, const StartOrder &order, OrderSlot slot)
        -> void = 0;
    virtual auto stop(const WorkerPeer &worker, const StopOrder &order, OrderSlot slot) -> void = 0;
    virtual auto pace(const WorkerPeer &worker, const PaceOrder &order, OrderSlot slot) -> void = 0;
    virtual auto hold(const WorkerPeer &worker, const HoldOrder &order, HoldSlot slot) -> void = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Machines
//-----------------------------------------------------------------------------

enum class MachineState { Up, Moving, Maintenance, Down };

struct MachineEntry {
    std::string           name;
    std::string           pool;
    std::string           zone;
    std::string           worker; // Id of its current life. Empty: none.
    std::set<std::string> labels;
    MachineState          state = MachineState::Down;
};

enum class MachineRefusal { None, Fenced, Busy, WrongWave, Invalid, Throttled };

struct MachineReply {
    CallOutcome    outcome = CallOutcome::Unknown;
    MachineRefusal refusal = MachineRefusal::None;
};

struct MachineHolder {
    std::string  name;
    std::int64_t token = 0;
    TimeMs       sendBy = 0; // The holder's term ends then, on its steady clock.
};

class MachineService
{
public:
    using ListSlot = std::function<void(absl::StatusOr<std::vector<MachineEntry>>)>;
    using OrderSlot = std::function<void(MachineReply)>;

    virtual ~MachineService() = default;

    virtual auto list(ListSlot slot) -> void = 0;
    virtual auto move(const std::string &machine, const std::string &pool,
                      const MachineHolder &holder, OrderSlot slot) -> void = 0;
    virtual auto maintain(const std::string &machine, const std::string &wave,
                          const MachineHolder &holder, OrderSlot slot) -> void = 0;
};

} // namespace peridotwalk
