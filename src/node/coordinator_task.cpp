#include "node/node_internal.h"

namespace peridotwalk {

namespace {

constexpr TimeMs kTickMs = 100;
constexpr TimeMs kJournalRetryMs = 100; // The store answers in a few ms, and bills retries.
constexpr int    kHttpOk = 200;
constexpr TimeMs kStatusIntervalMs = 1'000;  // Interval of a pool's status in the log.
constexpr TimeMs kMachineCallMarginMs = 800; // Calls to machines end this long before the term.
// Interval of reports on a dormant pool, once the coordinator knows that nothing runs there.
constexpr TimeMs kDormantReportMs = 1'000;

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Coordinator task
//-----------------------------------------------------------------------------

CoordinatorTask::CoordinatorTask(EventLoop &loop, Services services, const NodeSettings &settings,
                                 DirectoryTask &directory, OwnershipTask &ownership)
    : loop_(loop), services_(services), settings_(settings), directory_(directory),
      ownership_(ownership), timer_(std::make_unique<Timer>(loop, kTickMs, [this] { tick(); }))
{
    ownership.changed.connect([this](const OwnershipChange &) { refresh(); });
}

auto CoordinatorTask::refresh() -> void
{
    const auto &tokens = ownership_.ownership().tokens();
    const auto  found = tokens.find(partitionOf(kCoordinatorName, settings_.ownership.partitions));
    if (found == tokens.end()) {
        if (tenure_ != nullptr) {
            logEvent(LogLevel::Info, "coordinator.released", {{"token", tenure_->token}});
        }
        tenure_.reset();
        return;
    }
    if (tenure_ != nullptr && tenure_->token == found->second) {
        return;
    }
    tenure_ = std::make_shared<Tenure>(Tenure{found->second, ReportOrder(found->second),
                                              QuotaLedger(), MachinePlanner(settings_.planner)});
    fence(tenure_);
}

auto CoordinatorTask::writer(const Tenure &tenure, std::int64_t sequence) const -> JournalWriter
{
    return {std::string(kCoordinatorName),
            partitionOf(kCoordinatorName, settings_.ownership.partitions), tenure.token, sequence};
}

// Runs an action after a delay, unless this node has ceased to be the coordinator by then.
auto CoordinatorTask::retryLater(const TenurePtr &tenure, std::function<void()> action) -> void
{
    loop_.post(
        [this, tenure, action = std::move(action)] {
            if (tenure == tenure_) {
                action();
            }
        },
        kJournalRetryMs);
}

// Makes the store refuse records of the previous coordinator, and only then reads its last record.
auto CoordinatorTask::fence(const TenurePtr &tenure) -> void
{
    services_.journal.fence(writer(*tenure, 0), [this, tenure](CallOutcome outcome) {
        if (outcome == CallOutcome::Done) {
            readRecord(tenure);
        } else if (outcome != CallOutcome::Fenced) {
            retryLater(tenure, [this, tenure] { fence(tenure); });
        }
    });
}

auto CoordinatorTask::readRecord(const TenurePtr &tenure) -> void
{
    services_.journal.readNewest(
        writer(*tenure, 0).partition,
        [this, tenure](const absl::StatusOr<std::vector<KeyedRecord>> &records) {
            if (!records.ok()) {
                retryLater(tenure, [this, tenure] { readRecord(tenure); });
                return;
            }
            auto before = findCoordinator(*records);
            if (!before.ok()) {
                logEvent(LogLevel::Error, "journal.bad_record",
                         {{"error", before.status().ToString()}});
                before = CoordinatorRecord{};
            }
            tenure->isRecordRead = true;
            tenure->planner.begin(bootMs(), *before);
            logEvent(LogLevel::Info, "coordinator.held",
                     {{"token", tenure->token},
                      {"waves", before->maintained.size()},
                      {"just_called", before->called.size()}});
        });
}

auto CoordinatorTask::isInTerm() const -> bool
{
    return tenure_ != nullptr && bootMs() < ownership_.ownership().termUntil();
}

auto CoordinatorTask::identity() const -> CoordinatorIdentity
{
    return {settings_.name, tenure_->token,
            ownership_.ownership().termUntil() - kMachineCallMarginMs};
}

auto CoordinatorTask::handle(const PoolReport &report) -> std::optional<PoolDirection>
{
    if (!isInTerm() || !directory_.hasCatalog()) {
        return std::nullopt;
    }
    const auto &catalog = directory_.view().catalog;
    tenure_->ledger.setPools(catalog.declaredPools());
    auto direction = PoolDirection{};
    direction.token = tenure_->token;
    direction.rulesVersion = catalog.version();
    direction.maxima = maximaFor(catalog, report.rulesVersion);
    if (tenure_->order.accept(report)) {
        if (!report.isDormant) {
            tenure_->planner.onReport(bootMs(), report);
        }
        direction.grants = tenure_->ledger.grant(report, catalog);
        if (tenure_->planner.isTickDue()) {
            tick();
        }
    } else {
        logEvent(LogLevel::Info, "report.ignored",
                 {{"pool", report.pool},
                  {"token", report.token},
                  {"sequence", report.sequence},
                  {"directed_by", report.coordinator},
                  {"coordinator", tenure_->token}});
    }
    direction.cordoned = tenure_->planner.cordonedWorkers(bootMs(), report.pool);
    direction.urgent = tenure_->planner.urgentWorkers(report.pool);
    return direction;
}

auto CoordinatorTask::tick() -> void
{
    if (!isInTerm() || !tenure_->isRecordRead || !directory_.hasCatalog()
        || settings_.platform.machines.empty()) {
        return;
    }
    auto &planner = tenure_->planner;
    planner.setCatalog(directory_.view().catalog);
    planner.setEvacuated(directory_.view().evacuatedZones);
    planner.setWaves(bootMs(), directory_.view().waves);
    planner.tick(bootMs());
    carryOut();
    logArrivals();
}

auto CoordinatorTask::logArrivals() -> void
{
    for (const auto &arrival : tenure_->planner.takeArrivals(bootMs())) {
        logEvent(LogLevel::Info, "machine.arrived",
                 {{"machine", arrival.machine},
                  {"pool", arrival.pool},
                  {"worker", arrival.worker},
                  {"choice_ms", arrival.choiceMs},
                  {"call_ms", arrival.callMs},
                  {"answer_ms", arrival.answerMs},
                  {"worker_ms", arrival.workerMs},
                  {"start_ms", arrival.startMs}});
        if (services_.metrics != nullptr) {
            services_.metrics->addArrival(arrival);
        }
    }
}

auto CoordinatorTask::carryOut() -> void
{
    for (const auto &action : tenure_->planner.takeActions()) {
        std::visit([this](const auto &one) { perform(one); }, action);
    }
}

auto CoordinatorTask::perform(const RecordCalls &action) -> void
{
    append(tenure_, action);
}

// Retries until the journal has the record. Repeats have no further effect, as the sequence is the same.
auto CoordinatorTask::append(const TenurePtr &tenure, const RecordCalls &action) -> void
{
    services_.journal.append(writer(*tenure, action.sequence), {encodeCoordinator(action.record)},
                             [this, tenure, action](CallOutcome outcome) {
                                 if (outcome == CallOutcome::Done) {
                                     releaseCalls(tenure, action.sequence);
                                 } else if (outcome != CallOutcome::Fenced) {
                                     retryLater(tenure,
                                                [this, tenure, action] { append(tenure, action); });
                                 }
                             });
}

// Lets the planner send the calls that a stored record names, but only within a term. The planner takes
// the current time as the time at which they are sent.
auto CoordinatorTask::releaseCalls(const TenurePtr &tenure, std::int64_t sequence) -> void
{
    if (tenure != tenure_) {
        return;
    }
    if (!isInTerm()) {
        retryLater(tenure, [this, tenure, sequence] { releaseCalls(tenure, sequence); });
        return;
    }
    tenure->planner.onRecorded(bootMs(), sequence);
    carryOut();
}

auto CoordinatorTask::perform(const ListMachines & /*action*/) -> void
{
    services_.machines.list(
        [this, tenure = tenure_](const absl::StatusOr<std::vector<MachineEntry>> &machines) {
            if (machines.ok()) {
                tenure->planner.onListed(bootMs(), *machines);
                if (tenure == tenure_ && tenure->planner.isTickDue()) {
                    tick();
                }
            } else {
                logEvent(LogLevel::Warning, "machines.list_failed",
                         {{"error", machines.status().ToString()}});
                tenure->planner.onListFailed(bootMs());
            }
        });
}

auto CoordinatorTask::perform(const MoveMachine &action) -> void
{
    services_.machines.move(action.machine, action.pool, identity(),
                            [tenure = tenure_, action](const MachineReply &reply) {
                                logEvent(LogLevel::Info, "machine.moved",
                                         {{"machine", action.machine},
                                          {"pool", action.pool},
                                          {"token", tenure->token},
                                          {"outcome", static_cast<int>(reply.outcome)},
                                          {"refusal", static_cast<int>(reply.refusal)}});
                                tenure->planner.onMoved(bootMs(), action, reply);
                            });
}

auto CoordinatorTask::perform(const MaintainMachine &action) -> void
{
    services_.machines.maintain(action.machine, action.wave, identity(),
                                [tenure = tenure_, action](const MachineReply &reply) {
                                    logEvent(LogLevel::Info, "machine.maintained",
                                             {{"machine", action.machine},
                                              {"wave", action.wave},
                                              {"token", tenure->token},
                                              {"outcome", static_cast<int>(reply.outcome)},
                                              {"refusal", static_cast<int>(reply.refusal)}});
                                    tenure->planner.onMaintained(bootMs(), action, reply);
                                });
}

auto CoordinatorTask::perform(const WriteWaveState &action) -> void
{
    services_.directory.writeWaveState(action.wave, action.isCompleted,
                                       [tenure = tenure_, action](CallOutcome outcome) {
                                           logEvent(LogLevel::Info, "wave.state",
                                                    {{"wave", action.wave},
                                                     {"completed", action.isCompleted},
                                                     {"outcome", static_cast<int>(outcome)}});
                                           tenure->planner.onWaveWritten(action, outcome);
                                       });
}

//-----------------------------------------------------------------------------
// [SECTION] Reporter task
//-----------------------------------------------------------------------------

ReporterTask::ReporterTask(EventLoop &loop, ConnectionPool &peers, const NodeSettings &settings,
                           PoolsTask &pools, CoordinatorTask &coordinator, OwnershipTask &ownership)
    : peers_(peers), settings_(settings), pools_(pools), coordinator_(coordinator),
      ownership_(ownership),
      timer_(std::make_unique<Timer>(loop, settings.reportIntervalMs, [this] { report(); }))
{
    pools.ticked.connect([this] { reportRises(); });
}

auto ReporterTask::report() -> void
{
    for (auto &[name, pool] : pools_.pools()) {
        if (isReportDue(name, *pool)) {
            reportPool(name, *pool);
        }
    }
}

// The next periodic report could be 100 ms away, and machines take seconds to arrive.
auto ReporterTask::reportRises() -> void
{
    if (!settings_.planner.isDemandEarly) {
        return;
    }
    for (auto &[name, pool] : pools_.pools()) {
        const auto last = reportedDemand_.find(name);
        if (last != reportedDemand_.end() && pool->isReady()
            && hasDemandRisen(last->second.cpu, pool->scheduler()->demandCpu(),
                              last->second.workerCpu)) {
            reportPool(name, *pool);
        }
    }
}

// A new coordinator grants nothing before it knows what each pool runs, so it is told of dormant ones at once.
auto ReporterTask::isReportDue(const std::string &name, const PoolTask &pool) const -> bool
{
    const auto settled = settled_.find(name);
    return !pool.isDormant() || settled == settled_.end()
        || settled->second.coordinator != ownership_.memberOf(kCoordinatorName)
        || bootMs() >= settled->second.until;
}

// Sends one report of a pool at a time, so that each has the allowances that the last reply set. An owner out of its
// term may have been replaced, and sends none.
auto ReporterTask::reportPool(const std::string &name, PoolTask &pool) -> void
{
    if (!pool.isReady() || !pool.isInTerm() || pool.isFenced() || pendingReports_.contains(name)) {
        return;
    }
    const auto report = pool.makeReport();
    reportedDemand_[name] = {pool.scheduler()->demandCpu(), report.perWorker.cpu};
    if (!report.isDormant && bootMs() >= nextStatusAt_[name]) {
        nextStatusAt_[name] = bootMs() + kStatusIntervalMs;
        logStatus(report, pool);
    }
    const auto member = ownership_.memberOf(kCoordinatorName);
    if (member == ownership_.member()) {
        const auto direction = coordinator_.handle(report);
        if (direction) {
            onDirection(report, member, *direction);
        }
        return;
    }
    const auto address = addressOf(member);
    if (address.empty()) {
        ownership_.refreshOwners();
        return;
    }
    pendingReports_.insert(name);
    auto call = HttpCall{"POST",
                         std::string(kCoordinatorPath),
                         {{"Content-Type", "application/msgpack"}},
                         packReport(report),
                         settings_.ownerCallTimeoutMs};
    auto sent = PoolReport{}; // What the answer is compared with.
    sent.pool = name;
    sent.token = report.token;
    sent.coordinator = report.coordinator;
    peers_.request(address, std::move(call),
                   [this, name, member, sent = std::move(sent)](const HttpResult &result) {
                       pendingReports_.erase(name);
                       if (!result.isComplete || result.status != kHttpOk) {
                           ownership_.refreshOwners();
                           return;
                       }
                       const auto direction = unpackDirection(result.body);
                       if (direction.ok()) {
                           onDirection(sent, member, *direction);
                       } else {
                           logEvent(LogLevel::Warning, "peer.bad_direction",
                                    {{"error", direction.status().ToString()}});
                       }
                   });
}

auto ReporterTask::logStatus(const PoolReport &report, PoolTask &pool) -> void
{
    std::int64_t usable = 0;
    std::int64_t cordoned = 0;
    std::int64_t cpu = 0;
    for (const auto &worker : report.workers) {
        usable += worker.isUsable ? 1 : 0;
        cordoned += worker.isCordoned ? 1 : 0;
        cpu += worker.cpu + worker.unboundedCpu;
    }
    const auto activity = pool.scheduler()->takeActivity();
    logEvent(LogLevel::Info, "pool.status",
             {{"pool", report.pool},
              {"token", report.token},
              {"jobs", pool.scheduler()->countJobs()},
              {"runs", pool.scheduler()->countRuns()},
              {"workers", report.workers.size()},
              {"usable", usable},
              {"cordoned", cordoned},
              {"cpu", cpu},
              {"wanted_cpu", report.wanted.cpu},
              {"late_cpu", report.wantedLate.cpu},
              {"placed", activity.placed},
              {"rounds", activity.rounds},
              {"ended", activity.ended},
              {"waiting", activity.waiting},
              {"owner_limited", activity.ownerLimited},
              {"unconfirmed", activity.unconfirmed},
              {"recording", activity.recording},
              {"jobs_on_time", activity.waitingJobs.onTime},
              {"jobs_late", activity.waitingJobs.late},
              {"jobs_expired", activity.waitingJobs.expired},
              {"max_tick_gap_ms", activity.maxTickGapMs},
              {"runs_moved", activity.runsMoved},
              {"freed_core_ms", activity.freedCoreMs},
              {"place_waits", activity.placeWaits},
              {"placed_near", activity.placedNear},
              {"placed_far", activity.placedFar},
              {"placed_by_deadline", activity.placedByDeadline}});
}

auto ReporterTask::onDirection(const PoolReport &report, const std::string &coordinator,
                               const PoolDirection &direction) -> void
{
    const auto found = pools_.pools().find(report.pool);
    const auto isCurrent = found != pools_.pools().end()
        && found->second->identity().token == report.token && direction.token >= newestToken_;
    if (!isCurrent) {
        return;
    }
    newestToken_ = direction.token;
    if (report.coordinator == direction.token) { // So it has counted.
        settled_[report.pool] = {coordinator, bootMs() + kDormantReportMs};
    }
    found->second->applyDirection(direction);
    if (report.coordinator
        != direction.token) { // The next report counts, and its coordinator waits for it.
        reportPool(report.pool, *found->second);
    }
}

} // namespace peridotwalk
