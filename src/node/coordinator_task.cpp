#include "node/node_internal.h"

namespace peridotwalk {

namespace {

constexpr TimeMs kTickMs = 100;
constexpr TimeMs kJournalRetryMs =
    100; // Delay of retries. The store answers in a few ms, and bills calls.
constexpr int    kHttpOk = 200;
constexpr TimeMs kStatusGapMs = 1'000; // Interval of a pool's status in the log.
constexpr TimeMs kHolderMarginMs =
    800; // Machine calls end this long before the term, for delivery.

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
        if (duty_ != nullptr) {
            logEvent(LogLevel::Info, "coordinator.released", {{"token", duty_->token}});
        }
        duty_.reset();
        return;
    }
    if (duty_ != nullptr && duty_->token == found->second) {
        return;
    }
    duty_ = std::make_shared<Duty>(
        Duty{found->second, QuotaLedger(), MachinePlanner(settings_.planner)});
    fence(duty_);
}

auto CoordinatorTask::writer(const Duty &duty, std::int64_t sequence) const -> JournalWriter
{
    return {std::string(kCoordinatorName),
            partitionOf(kCoordinatorName, settings_.ownership.partitions), duty.token, sequence};
}

// Runs an action after a delay, unless this node has ceased to be the coordinator by then.
auto CoordinatorTask::later(const DutyPtr &duty, std::function<void()> action) -> void
{
    loop_.post(
        [this, duty, action = std::move(action)] {
            if (duty == duty_) {
                action();
            }
        },
        kJournalRetryMs);
}

// Makes the store refuse records of the previous coordinator, and only then reads its last record.
auto CoordinatorTask::fence(const DutyPtr &duty) -> void
{
    services_.journal.fence(writer(*duty, 0), [this, duty](CallOutcome outcome) {
        if (outcome == CallOutcome::Done) {
            readRecord(duty);
        } else if (outcome != CallOutcome::Fenced) {
            later(duty, [this, duty] { fence(duty); });
        }
    });
}

auto CoordinatorTask::readRecord(const DutyPtr &duty) -> void
{
    services_.journal.readNewest(
        writer(*duty, 0).partition,
        [this, duty](const absl::StatusOr<std::vector<KeyedRecord>> &records) {
            if (!records.ok()) {
                later(duty, [this, duty] { readRecord(duty); });
                return;
            }
            auto before = findCoordinator(*records);
            if (!before.ok()) {
                logEvent(LogLevel::Error, "journal.bad_record",
                         {{"error", before.status().ToString()}});
                before = CoordinatorRecord{};
            }
            duty->hasBegun = true;
            duty->planner.begin(bootMs(), *before);
            logEvent(LogLevel::Info, "coordinator.held",
                     {{"token", duty->token},
                      {"waves", before->maintained.size()},
                      {"just_called", before->called.size()}});
        });
}

auto CoordinatorTask::isInTerm() const -> bool
{
    return duty_ != nullptr && bootMs() < ownership_.ownership().termUntil();
}

auto CoordinatorTask::holder() const -> MachineHolder
{
    return {settings_.name, duty_->token, ownership_.ownership().termUntil() - kHolderMarginMs};
}

auto CoordinatorTask::handle(const PoolReport &report) -> std::optional<PoolDirection>
{
    if (!isInTerm() || !directory_.hasCatalog()) {
        return std::nullopt;
    }
    const auto &catalog = directory_.view().catalog;
    const auto  pools = catalog.activePools();
    duty_->ledger.setPools({pools.begin(), pools.end()});
    duty_->planner.onReport(bootMs(), report);
    return PoolDirection{duty_->token, duty_->ledger.grant(report, catalog),
                         duty_->planner.cordonedWorkers(bootMs(), report.pool)};
}

auto CoordinatorTask::tick() -> void
{
    if (!isInTerm() || !duty_->hasBegun || !directory_.hasCatalog()
        || settings_.platform.machines.empty()) {
        return;
    }
    auto &planner = duty_->planner;
    planner.setCatalog(directory_.view().catalog);
    planner.setEvacuated(directory_.view().evacuatedZones);
    planner.setWaves(bootMs(), directory_.view().waves);
    planner.tick(bootMs());
    carryOut();
}

auto CoordinatorTask::carryOut() -> void
{
    for (const auto &action : duty_->planner.takeActions()) {
        std::visit([this](const auto &one) { perform(one); }, action);
    }
}

auto CoordinatorTask::perform(const RecordCalls &action) -> void
{
    append(duty_, action);
}

// Retries until the journal has the record. Repeats have no further effect, as the sequence is the same.
auto CoordinatorTask::append(const DutyPtr &duty, const RecordCalls &action) -> void
{
    services_.journal.append(writer(*duty, action.sequence), {encodeCoordinator(action.record)},
                             [this, duty, action](CallOutcome outcome) {
                                 if (outcome == CallOutcome::Done) {
                                     releaseCalls(duty, action.sequence);
                                 } else if (outcome != CallOutcome::Fenced) {
                                     later(duty, [this, duty, action] { append(duty, action); });
                                 }
                             });
}

// Calls are sent only within a term, and count from when they are sent.
auto CoordinatorTask::releaseCalls(const DutyPtr &duty, std::int64_t sequence) -> void
{
    if (duty != duty_) {
        return;
    }
    if (!isInTerm()) {
        later(duty, [this, duty, sequence] { releaseCalls(duty, sequence); });
        return;
    }
    duty->planner.onRecorded(bootMs(), sequence);
    carryOut();
}

auto CoordinatorTask::perform(const ListMachines & /*action*/) -> void
{
    services_.machines.list(
        [duty = duty_](const absl::StatusOr<std::vector<MachineEntry>> &machines) {
            if (machines.ok()) {
                duty->planner.onListed(bootMs(), *machines);
            } else {
                logEvent(LogLevel::Warning, "machines.list_failed",
                         {{"error", machines.status().ToString()}});
                duty->planner.onListFailed(bootMs());
            }
        });
}

auto CoordinatorTask::perform(const MoveMachine &action) -> void
{
    services_.machines.move(action.machine, action.pool, holder(),
                            [duty = duty_, action](const MachineReply &reply) {
                                logEvent(LogLevel::Info, "machine.moved",
                                         {{"machine", action.machine},
                                          {"pool", action.pool},
                                          {"token", duty->token},
                                          {"outcome", static_cast<int>(reply.outcome)},
                                          {"refusal", static_cast<int>(reply.refusal)}});
                                duty->planner.onMoved(bootMs(), action, reply);
                            });
}

auto CoordinatorTask::perform(const MaintainMachine &action) -> void
{
    services_.machines.maintain(action.machine, action.wave, holder(),
                                [duty = duty_, action](const MachineReply &reply) {
                                    logEvent(LogLevel::Info, "machine.maintained",
                                             {{"machine", action.machine},
                                              {"wave", action.wave},
                                              {"token", duty->token},
                                              {"outcome", static_cast<int>(reply.outcome)},
                                              {"refusal", static_cast<int>(reply.refusal)}});
                                    duty->planner.onMaintained(bootMs(), action, reply);
                                });
}

auto CoordinatorTask::perform(const WriteWaveState &action) -> void
{
    services_.directory.writeWaveState(action.wave, action.isCompleted,
                                       [duty = duty_, action](CallOutcome outcome) {
                                           logEvent(LogLevel::Info, "wave.state",
                                                    {{"wave", action.wave},
                                                     {"completed", action.isCompleted},
                                                     {"outcome", static_cast<int>(outcome)}});
                                           duty->planner.onWaveWritten(action, outcome);
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
}

auto ReporterTask::report() -> void
{
    for (auto &[name, pool] : pools_.pools()) {
        if (pool->isReady() && !pool->isFenced() && !reporting_.contains(name)) {
            reportPool(name, *pool);
        }
    }
}

// Sends one report of a pool at a time, so that each has the allowances that the last reply set.
auto ReporterTask::reportPool(const std::string &name, PoolTask &pool) -> void
{
    const auto report = pool.scheduler()->report();
    if (bootMs() >= statusAt_[name]) {
        statusAt_[name] = bootMs() + kStatusGapMs;
        logStatus(report, pool);
    }
    const auto member = ownership_.memberOf(kCoordinatorName);
    if (member == ownership_.member()) {
        const auto direction = coordinator_.handle(report);
        if (direction) {
            onDirection(name, report.token, *direction);
        }
        return;
    }
    const auto address = addressOf(member);
    if (address.empty()) {
        ownership_.refreshOwners();
        return;
    }
    reporting_.insert(name);
    auto call = HttpCall{"POST",
                         std::string(kCoordinatorPath),
                         {{"Content-Type", "application/msgpack"}},
                         packReport(report),
                         settings_.ownerCallTimeoutMs};
    peers_.request(address, std::move(call),
                   [this, name, token = report.token](const HttpResult &result) {
                       reporting_.erase(name);
                       if (!result.isComplete || result.status != kHttpOk) {
                           ownership_.refreshOwners();
                           return;
                       }
                       const auto direction = unpackDirection(result.body);
                       if (direction.ok()) {
                           onDirection(name, token, *direction);
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
    logEvent(LogLevel::Info, "pool.status",
             {{"pool", report.pool},
              {"token", report.token},
              {"jobs", pool.scheduler()->countJobs()},
              {"runs", pool.scheduler()->countRuns()},
              {"workers", report.workers.size()},
              {"usable", usable},
              {"cordoned", cordoned},
              {"cpu", cpu},
              {"wanted_cpu", report.wanted.cpu}});
}

auto ReporterTask::onDirection(const std::string &name, std::int64_t token,
                               const PoolDirection &direction) -> void
{
    const auto found = pools_.pools().find(name);
    const auto isCurrent = found != pools_.pools().end() && found->second->identity().token == token
        && direction.token >= newestToken_;
    if (isCurrent) {
        newestToken_ = direction.token;
        found->second->applyDirection(direction);
    }
}

} // namespace peridotwalk
