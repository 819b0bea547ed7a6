// Counters, latency histograms and gauges of a node, in Prometheus' text format. docs/OPERATIONS.md lists
// them. Internal to this library.
//
// Index of this file
// [SECTION] Node metrics
// [SECTION] Metered services
// [SECTION] Metrics task

#pragma once

#include "coordinator/coordinator.h"
#include "http/http.h"
#include "services/services.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace peridotwalk {

class OwnershipTask;
class DirectoryTask;
class PoolsTask;

//-----------------------------------------------------------------------------
// [SECTION] Node metrics
//-----------------------------------------------------------------------------

// The metrics of one node. Labels come from small fixed sets, or name pools and events.
class NodeMetrics
{
public:
    NodeMetrics();

    // Commands. Durations are passed in ms and exported in seconds.
    auto addCall(const std::string &verb, int status, TimeMs tookMs) -> void;
    auto addAppend(CallOutcome outcome, TimeMs tookMs) -> void;
    auto addOrder(const std::string &order, CallOutcome outcome, TimeMs tookMs) -> void;
    auto addTakeover(TimeMs tookMs) -> void;
    auto addArrival(const MachineArrival &arrival) -> void;
    auto addRefusal(const std::string &reason) -> void;
    auto setGauge(const std::string &name, const std::string &help,
                  const prometheus::Labels &labels, double value) -> void;

    // Queries.
    auto collect() const -> std::string; // In the text format.

private:
    using Counters = prometheus::Family<prometheus::Counter>;
    using Histograms = prometheus::Family<prometheus::Histogram>;

    // Handles of one kind of order: looking them up by labels takes microseconds.
    struct OrderMetrics {
        std::map<CallOutcome, prometheus::Counter *> outcomes;
        prometheus::Histogram                       *seconds = nullptr;
    };

    auto observe(Histograms &family, const prometheus::Labels &labels, TimeMs tookMs) -> void;

    std::shared_ptr<prometheus::Registry> registry_;
    Counters                             &calls_;
    Counters                             &appends_;
    Counters                             &orders_;
    Counters                             &refusals_;
    Histograms                           &callSeconds_;
    Histograms                           &appendSeconds_;
    Histograms                           &orderSeconds_;
    Histograms                           &takeoverSeconds_;
    Histograms                           &arrivalSeconds_;
    std::map<std::string, OrderMetrics>   orderMetrics_; // By order.
};

//-----------------------------------------------------------------------------
// [SECTION] Metered services
//-----------------------------------------------------------------------------

// Decorators that record the outcome and duration of each call.
auto meterJournal(JournalStore &journal, NodeMetrics &metrics) -> std::unique_ptr<JournalStore>;
auto meterWorkers(WorkerService &workers, NodeMetrics &metrics) -> std::unique_ptr<WorkerService>;

//-----------------------------------------------------------------------------
// [SECTION] Metrics task
//-----------------------------------------------------------------------------

// Serves GET /metrics. Reads gauges from the tasks at each request.
class MetricsTask
{
public:
    MetricsTask(EventLoop &loop, NodeMetrics &metrics, DirectoryTask &directory,
                OwnershipTask &ownership, PoolsTask &pools, const ConnectionPool &workers);

    auto listen(const std::string &address) -> absl::Status; // Empty: serves nothing.
    auto port() const -> std::uint16_t { return server_.port(); }

private:
    auto readGauges() -> void;
    auto readPools() -> void;

    NodeMetrics          &metrics_;
    DirectoryTask        &directory_;
    OwnershipTask        &ownership_;
    PoolsTask            &pools_;
    const ConnectionPool &workers_; // Connections to them.
    HttpServer            server_;
};

} // namespace peridotwalk
