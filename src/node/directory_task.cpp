#include "node/node_internal.h"

namespace peridotwalk {

namespace {

// Longest wait of a poll for changes. Bounds the time until a lost connection is noticed.
constexpr TimeMs kOperatorsPollMs = 700;
constexpr TimeMs kOperatorsRetryMs = 200;

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Directory task
//-----------------------------------------------------------------------------

DirectoryTask::DirectoryTask(EventLoop &loop, Directory &directory, const NodeSettings &settings)
    : loop_(loop), directory_(directory), settings_(settings)
{
}

auto DirectoryTask::start() -> void
{
    readOperators();
}

auto DirectoryTask::readOperators() -> void
{
    directory_.read(DirectorySource::Operators, operatorsAt_, kOperatorsPollMs,
                    [this](const absl::StatusOr<DirectoryPage> &page) {
                        if (!page.ok()) {
                            if (!std::exchange(isOperatorReadFailing_, true)) {
                                logEvent(LogLevel::Warning, "directory.lost",
                                         {{"source", "operators"},
                                          {"error", page.status().ToString()},
                                          {"version", view_.catalog.version()}});
                            }
                            loop_.post([this] { readOperators(); }, kOperatorsRetryMs);
                            return;
                        }
                        if (std::exchange(isOperatorReadFailing_, false)) {
                            logEvent(LogLevel::Info, "directory.regained",
                                     {{"source", "operators"}, {"offset", page->next}});
                        }
                        operatorsAt_ = page->next;
                        const auto isFirst = !std::exchange(hasOperators_, true);
                        apply(DirectorySource::Operators, *page);
                        if (isFirst && page->changes.empty()) {
                            changed.emit();
                        }
                        readOperators();
                    });
}

// The list of workers is most of what a node reads, so nodes that can't become owners don't read it.
auto DirectoryTask::setMember(bool isMember) -> void
{
    isMember_ = isMember;
    if (isMember_ && !isReadingWorkers_) {
        readWorkers();
    }
}

auto DirectoryTask::readWorkers() -> void
{
    isReadingWorkers_ = true;
    directory_.read(
        DirectorySource::Workers, workersAt_, 0, [this](const absl::StatusOr<DirectoryPage> &page) {
            if (!page.ok()) {
                if (!std::exchange(isWorkerReadFailing_, true)) {
                    logEvent(LogLevel::Warning, "directory.lost",
                             {{"source", "workers"}, {"error", page.status().ToString()}});
                }
            } else {
                if (std::exchange(isWorkerReadFailing_, false)) {
                    logEvent(LogLevel::Info, "directory.regained",
                             {{"source", "workers"}, {"offset", page->next}});
                }
                workersAt_ = page->next;
                hasWorkers_ = true;
                apply(DirectorySource::Workers, *page);
            }
            isReadingWorkers_ = false;
            const auto isBehind = page.ok() && !page->isCurrent;
            loop_.post(
                [this] {
                    if (isMember_ && !isReadingWorkers_) {
                        readWorkers();
                    }
                },
                isBehind       ? 0
                    : isOwner_ ? settings_.workersPollMs
                               : settings_.idleWorkersPollMs);
        });
}

auto DirectoryTask::apply(DirectorySource source, const DirectoryPage &page) -> void
{
    auto previous = std::map<std::string, WorkerReport>();
    if (page.isComplete && source == DirectorySource::Workers) {
        previous.swap(view_.workers);
    }
    if (page.isComplete && source == DirectorySource::Operators) {
        view_.evacuatedZones.clear();
        view_.waves.clear();
    }
    if (page.isCurrent && source == DirectorySource::Workers) {
        view_.readAt = bootMs();
    }
    for (const auto &change : page.changes) {
        if (const auto *worker = std::get_if<WorkerChanged>(&change)) {
            if (worker->report) {
                view_.addWorker(bootMs(), *worker->report);
            } else if (view_.workers.contains(worker->id)) {
                view_.removeWorker(bootMs(), worker->id);
            }
        } else if (const auto *rules = std::get_if<CatalogChanged>(&change)) {
            if (rules->rules.version > view_.catalog.version()) {
                view_.catalog = Catalog(rules->rules);
                view_.pools.merge(view_.catalog.declaredPools());
                logEvent(LogLevel::Info, "catalog.changed",
                         {{"version", view_.catalog.version()},
                          {"queues", rules->rules.queues.size()},
                          {"tenants", rules->rules.tenants.size()}});
            }
        } else if (const auto *zone = std::get_if<ZoneEvacuation>(&change)) {
            logEvent(LogLevel::Info, "zone.evacuation",
                     {{"zone", zone->zone}, {"out", zone->isOut}});
            if (zone->isOut) {
                view_.evacuatedZones.insert(zone->zone);
            } else {
                view_.evacuatedZones.erase(zone->zone);
            }
        } else if (const auto *wave = std::get_if<WaveChanged>(&change)) {
            logEvent(LogLevel::Info, "wave.changed",
                     {{"wave", wave->name},
                      {"machines", wave->order ? wave->order->machines.size() : 0}});
            if (wave->order) {
                view_.waves[wave->name] = *wave->order;
            } else {
                view_.waves.erase(wave->name);
            }
        }
    }
    view_.forgetWorkers(bootMs());
    for (const auto &[id, report] : previous) {
        if (!view_.workers.contains(id)) {
            view_.removeWorker(bootMs(), id);
        }
    }
    if (!page.changes.empty()) {
        changed.emit();
    }
}

} // namespace peridotwalk
