#include "node/metrics.h"

#include "node/node_internal.h"

#include <prometheus/text_serializer.h>
#include <sys/resource.h>

#include <algorithm>
#include <sstream>

namespace peridotwalk {

namespace {

constexpr double kMsPerSecond = 1'000;
constexpr double kMicrosPerSecond = 1'000'000;
constexpr int    kHttpOk = 200;
constexpr int    kHttpNotFound = 404;

// Upper bounds of the buckets in seconds: from the answer of a nearby store to the longest time budget
// of a caller.
auto latencyBuckets() -> prometheus::Histogram::BucketBoundaries
{
    return {0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};
}

auto outcomeName(CallOutcome outcome) -> std::string
{
    switch (outcome) {
    case CallOutcome::Done:
        return "done";
    case CallOutcome::Refused:
        return "refused";
    case CallOutcome::Fenced:
        return "fenced";
    case CallOutcome::Unknown:
        break;
    }
    return "unknown";
}

auto makeCounters(prometheus::Registry &registry, const std::string &name, const std::string &help)
    -> prometheus::Family<prometheus::Counter> &
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

auto makeHistograms(prometheus::Registry &registry, const std::string &name,
                    const std::string &help) -> prometheus::Family<prometheus::Histogram> &
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

auto processorSeconds() -> double
{
    auto usage = rusage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec)
            + static_cast<double>(time.tv_usec) / kMicrosPerSecond;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

class MeteredJournal final : public JournalStore
{
public:
    MeteredJournal(JournalStore &journal, NodeMetrics &metrics)
        : journal_(journal), metrics_(metrics)
    {
    }

    auto fence(const JournalWriter &writer, OutcomeSlot slot) -> void override
    {
        journal_.fence(writer, std::move(slot));
    }
    auto append(const JournalWriter &writer, const std::vector<KeyedRecord> &records,
                OutcomeSlot slot) -> void override
    {
        journal_.append(writer, records,
                        [this, sentAt = bootMs(), slot = std::move(slot)](CallOutcome outcome) {
                            metrics_.addAppend(outcome, bootMs() - sentAt);
                            slot(outcome);
                        });
    }
    auto readNewest(std::int64_t partition, RecordsSlot slot) -> void override
    {
        journal_.readNewest(partition, std::move(slot));
    }

private:
    JournalStore &journal_;
    NodeMetrics  &metrics_;
};

class MeteredWorkers final : public WorkerService
{
public:
    MeteredWorkers(WorkerService &workers, NodeMetrics &metrics)
        : workers_(workers), metrics_(metrics)
    {
    }

    auto start(const WorkerPeer &worker, const StartOrder &order, OrderSlot slot) -> void override
    {
        workers_.start(worker, order, meter<OrderReply>("start", std::move(slot)));
    }
    auto stop(const WorkerPeer &worker, const StopOrder &order, OrderSlot slot) -> void override
    {
        workers_.stop(worker, order, meter<OrderReply>("stop", std::move(slot)));
    }
    auto pace(const WorkerPeer &worker, const PaceOrder &order, OrderSlot slot) -> void override
    {
        workers_.pace(worker, order, meter<OrderReply>("pace", std::move(slot)));
    }
    // A hold waits until a run ends, so its duration is of use only for failures.
    auto hold(const WorkerPeer &worker, const HoldOrder &order, HoldSlot slot) -> void override
    {
        workers_.hold(worker, order, meter<HoldReply>("hold", std::move(slot)));
    }

private:
    template <typename Reply, typename Slot>
    auto meter(const std::string &order, Slot slot) -> Slot
    {
        return [this, order, sentAt = bootMs(), slot = std::move(slot)](const Reply &reply) {
            metrics_.addOrder(order, reply.outcome, bootMs() - sentAt);
            slot(reply);
        };
    }

    WorkerService &workers_;
    NodeMetrics   &metrics_;
};

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Node metrics
//-----------------------------------------------------------------------------

NodeMetrics::NodeMetrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      calls_(makeCounters(*registry_, "peridotwalk_calls_total",
                          "Callers' requests by verb and HTTP status.")),
      appends_(makeCounters(*registry_, "peridotwalk_appends_total",
                            "Appends to the journal by outcome.")),
      orders_(makeCounters(*registry_, "peridotwalk_orders_total",
                           "Orders to workers by kind and outcome.")),
      refusals_(makeCounters(*registry_, "peridotwalk_refusals_total",
                             "Calls that a pool's owner refused, by reason.")),
      callSeconds_(makeHistograms(*registry_, "peridotwalk_call_duration_seconds",
                                  "From a caller's request to its answer.")),
      appendSeconds_(makeHistograms(*registry_, "peridotwalk_append_duration_seconds",
                                    "From an append to the store's answer.")),
      orderSeconds_(makeHistograms(*registry_, "peridotwalk_order_duration_seconds",
                                   "From an order to the worker's answer.")),
      takeoverSeconds_(makeHistograms(*registry_, "peridotwalk_takeover_duration_seconds",
                                      "From ownership of a pool to its restored jobs.")),
      arrivalSeconds_(makeHistograms(*registry_, "peridotwalk_machine_stage_seconds",
                                     "Stages of moves of machines to active pools."))
{
}

auto NodeMetrics::observe(Histograms &family, const prometheus::Labels &labels, TimeMs tookMs)
    -> void
{
    family.Add(labels, latencyBuckets()).Observe(static_cast<double>(tookMs) / kMsPerSecond);
}

auto NodeMetrics::addCall(const std::string &verb, int status, TimeMs tookMs) -> void
{
    calls_.Add({{"verb", verb}, {"status", std::to_string(status)}}).Increment();
    observe(callSeconds_, {{"verb", verb}}, tookMs);
}

auto NodeMetrics::addAppend(CallOutcome outcome, TimeMs tookMs) -> void
{
    appends_.Add({{"outcome", outcomeName(outcome)}}).Increment();
    observe(appendSeconds_, {}, tookMs);
}

auto NodeMetrics::addOrder(const std::string &order, CallOutcome outcome, TimeMs tookMs) -> void
{
    auto &metrics = orderMetrics_[order];
    if (metrics.seconds == nullptr) {
        metrics.seconds = &orderSeconds_.Add({{"order", order}}, latencyBuckets());
    }
    auto &counter = metrics.outcomes[outcome];
    if (counter == nullptr) {
        counter = &orders_.Add({{"order", order}, {"outcome", outcomeName(outcome)}});
    }
    counter->Increment();
    metrics.seconds->Observe(static_cast<double>(tookMs) / kMsPerSecond);
}

auto NodeMetrics::addTakeover(TimeMs tookMs) -> void
{
    observe(takeoverSeconds_, {}, tookMs);
}

auto NodeMetrics::addArrival(const MachineArrival &arrival) -> void
{
    observe(arrivalSeconds_, {{"stage", "choice"}}, arrival.choiceMs);
    observe(arrivalSeconds_, {{"stage", "call"}}, arrival.callMs);
    observe(arrivalSeconds_, {{"stage", "answer"}}, arrival.answerMs);
    observe(arrivalSeconds_, {{"stage", "worker"}}, arrival.workerMs);
    observe(arrivalSeconds_, {{"stage", "start"}}, arrival.startMs);
}

auto NodeMetrics::addRefusal(const std::string &reason) -> void
{
    refusals_.Add({{"reason", reason}}).Increment();
}

auto NodeMetrics::setGauge(const std::string &name, const std::string &help,
                           const prometheus::Labels &labels, double value) -> void
{
    prometheus::BuildGauge().Name(name).Help(help).Register(*registry_).Add(labels).Set(value);
}

auto NodeMetrics::collect() const -> std::string
{
    auto text = std::ostringstream();
    prometheus::TextSerializer().Serialize(text, registry_->Collect());
    // The log counts events, including those whose lines it dropped.
    text << "# HELP peridotwalk_decisions_total Structured log events, dropped ones included.\n"
            "# TYPE peridotwalk_decisions_total counter\n";
    for (const auto &[event, count] : countEvents()) {
        text << "peridotwalk_decisions_total{event=\"" << event << "\"} " << count << '\n';
    }
    text << "# HELP peridotwalk_log_lines_dropped_total Lines left out by a limit.\n"
            "# TYPE peridotwalk_log_lines_dropped_total counter\n"
            "peridotwalk_log_lines_dropped_total "
         << logCounts().dropped
         << "\n# HELP process_cpu_seconds_total Processor time of this process.\n"
            "# TYPE process_cpu_seconds_total counter\n"
            "process_cpu_seconds_total "
         << processorSeconds() << '\n';
    return text.str();
}

//-----------------------------------------------------------------------------
// [SECTION] Metered services
//-----------------------------------------------------------------------------

auto meterJournal(JournalStore &journal, NodeMetrics &metrics) -> std::unique_ptr<JournalStore>
{
    return std::make_unique<MeteredJournal>(journal, metrics);
}

auto meterWorkers(WorkerService &workers, NodeMetrics &metrics) -> std::unique_ptr<WorkerService>
{
    return std::make_unique<MeteredWorkers>(workers, metrics);
}

//-----------------------------------------------------------------------------
// [SECTION] Metrics task
//-----------------------------------------------------------------------------

MetricsTask::MetricsTask(EventLoop &loop, NodeMetrics &metrics, DirectoryTask &directory,
                         OwnershipTask &ownership, PoolsTask &pools, const ConnectionPool &workers)
    : metrics_(metrics), directory_(directory), ownership_(ownership), pools_(pools),
      workers_(workers), server_(loop, HttpServerLimits{})
{
    server_.requestArrived.connect([this](const HttpRequest &request) {
        if (request.path != "/metrics") {
            server_.reply(request.id, {kHttpNotFound, "text/plain", "no such page\n", {}});
            return;
        }
        readGauges();
        server_.reply(request.id, {kHttpOk, "text/plain; version=0.0.4", metrics_.collect(), {}});
    });
}

auto MetricsTask::listen(const std::string &address) -> absl::Status
{
    return address.empty() ? absl::OkStatus() : server_.listen(address);
}

auto MetricsTask::readGauges() -> void
{
    const auto &view = directory_.view();
    metrics_.setGauge("peridotwalk_catalog_version", "Version of the rules in force here.", {},
                      static_cast<double>(view.catalog.version()));
    metrics_.setGauge("peridotwalk_workers", "Workers that are listed.", {},
                      static_cast<double>(view.workers.size()));
    metrics_.setGauge("peridotwalk_worker_connections", "Open connections to workers.", {},
                      static_cast<double>(workers_.countConnections()));
    metrics_.setGauge("peridotwalk_zones_out", "Zones that operators have taken out.", {},
                      static_cast<double>(view.evacuatedZones.size()));
    metrics_.setGauge("peridotwalk_generation", "Of the ownership group, as last seen.", {},
                      static_cast<double>(ownership_.ownership().generation()));
    metrics_.setGauge("peridotwalk_store_contact_age_seconds",
                      "Since the store last answered a renewal.", {},
                      static_cast<double>(bootMs() - ownership_.lastContactAt()) / kMsPerSecond);
    readPools();
}

// Pools that this node doesn't own are exported too, with zeros.
auto MetricsTask::readPools() -> void
{
    for (const auto &name : directory_.view().catalog.activePools()) {
        const auto found = pools_.pools().find(name);
        auto      *scheduler = found == pools_.pools().end() ? nullptr : found->second->scheduler();
        const auto labels = prometheus::Labels{{"pool", name}};
        const auto report = scheduler == nullptr ? PoolReport{} : scheduler->report();
        const auto jobs = scheduler == nullptr ? 0 : scheduler->countJobs();
        const auto runs = scheduler == nullptr ? 0 : scheduler->countRuns();
        metrics_.setGauge("peridotwalk_pool_owned", "1 on the node that schedules the pool.",
                          labels, scheduler == nullptr ? 0 : 1);
        metrics_.setGauge("peridotwalk_pool_token", "Fencing token of the pool's owner.", labels,
                          static_cast<double>(report.token));
        metrics_.setGauge("peridotwalk_pool_jobs", "Jobs that aren't over.", labels,
                          static_cast<double>(jobs));
        metrics_.setGauge("peridotwalk_pool_runs", "Runs that take room on workers.", labels,
                          static_cast<double>(runs));
        metrics_.setGauge("peridotwalk_pool_wanted_cores", "Of ready tasks without a worker.",
                          labels, static_cast<double>(report.wanted.cpu) / kMsPerSecond);
        const auto recording = scheduler == nullptr ? 0 : scheduler->countRecordingRuns();
        metrics_.setGauge("peridotwalk_pool_recording_runs", "Placed runs not in the journal yet.",
                          labels, static_cast<double>(recording));
        const auto waiting = scheduler == nullptr ? WaitingJobs{} : scheduler->countWaitingJobs();
        const auto setWaiting = [&](const std::string &timeliness, std::int64_t count) {
            metrics_.setGauge(
                "peridotwalk_pool_waiting_jobs", "Jobs with timed tasks that wait, by timeliness.",
                {{"pool", name}, {"timeliness", timeliness}}, static_cast<double>(count));
        };
        setWaiting("on_time", waiting.onTime);
        setWaiting("late", waiting.late);
        setWaiting("expired", waiting.expired);
        const auto totals = scheduler == nullptr ? PoolActivity{} : scheduler->placeTotals();
        const auto setWaits = [&](const std::string &state, std::int64_t tasks) {
            metrics_.setGauge(
                "peridotwalk_pool_place_waits",
                "Tasks that waited for a place, by how that ended, since the pool is owned here.",
                {{"pool", name}, {"state", state}}, static_cast<double>(tasks));
        };
        setWaits("begun", totals.placeWaits);
        setWaits("near", totals.placedNear);
        setWaits("far", totals.placedFar);
        setWaits("deadline", totals.placedByDeadline);
        metrics_.setGauge("peridotwalk_pool_runs_moved",
                          "Off machines that another pool waits for, since the pool is owned here.",
                          labels, static_cast<double>(totals.runsMoved));
        metrics_.setGauge("peridotwalk_pool_freed_core_seconds",
                          "That moved runs are expected to free, since the pool is owned here.",
                          labels, static_cast<double>(totals.freedCoreMs) / kMsPerSecond);
        const auto usable = std::ranges::count_if(report.workers, &WorkerLoad::isUsable);
        metrics_.setGauge("peridotwalk_pool_workers", "Workers by state.",
                          {{"pool", name}, {"state", "usable"}}, static_cast<double>(usable));
        metrics_.setGauge("peridotwalk_pool_workers", "Workers by state.",
                          {{"pool", name}, {"state", "other"}},
                          static_cast<double>(std::ssize(report.workers) - usable));
    }
}

} // namespace peridotwalk
