#include "coordinator/coordinator.h"

#include <algorithm>

namespace peridotwalk {

namespace {

// A moved machine whose worker hasn't started anything by then isn't measured: it never arrived, or wasn't needed.
constexpr TimeMs kMaxTrackedMs = 30'000;

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Arrival of machines
//-----------------------------------------------------------------------------

auto ArrivalTracker::setShort(TimeMs now, std::string_view pool, bool isShort) -> void
{
    const auto found = shortSince_.find(pool);
    if (!isShort && found != shortSince_.end()) {
        shortSince_.erase(found);
    } else if (isShort && found == shortSince_.end()) {
        shortSince_.emplace(pool, now);
    }
}

auto ArrivalTracker::onChosen(TimeMs now, const std::string &machine, const std::string &pool)
    -> void
{
    auto       move = Move{};
    const auto since = shortSince_.find(pool);
    move.pool = pool;
    move.neededAt = since == shortSince_.end() ? now : since->second;
    move.chosenAt = now;
    moves_[machine] = std::move(move);
}

auto ArrivalTracker::onCalled(TimeMs now, const std::string &machine, const std::string &worker)
    -> void
{
    const auto found = moves_.find(machine);
    if (found != moves_.end()) {
        found->second.calledAt = now;
        found->second.calledWorker = worker;
    }
}

auto ArrivalTracker::onAnswered(TimeMs now, const std::string &machine) -> void
{
    const auto found = moves_.find(machine);
    if (found != moves_.end() && found->second.calledAt >= 0) {
        found->second.answeredAt = now;
    }
}

auto ArrivalTracker::drop(const std::string &machine) -> void
{
    moves_.erase(machine);
}

auto ArrivalTracker::onReport(TimeMs now, const PoolReport &report) -> void
{
    auto &before = workers_[report.pool];
    auto  workers = std::map<std::string, WorkerTimes>();
    for (const auto &load : report.workers) {
        const auto known = before.find(load.id);
        auto       times = known == before.end() ? WorkerTimes{now, -1} : known->second;
        if (times.startedAt < 0 && load.runs > 0) {
            times.startedAt = now;
        }
        workers.emplace(load.id, times);
    }
    before = std::move(workers);
}

auto ArrivalTracker::onWorker(const std::string &machine, std::string_view pool,
                              const std::string &worker) -> void
{
    const auto found = moves_.find(machine);
    if (found != moves_.end() && found->second.answeredAt >= 0 && found->second.pool == pool
        && worker != found->second.calledWorker) {
        found->second.worker = worker;
    }
}

auto ArrivalTracker::takeArrivals(TimeMs now) -> std::vector<MachineArrival>
{
    auto arrivals = std::vector<MachineArrival>();
    std::erase_if(moves_, [&](const auto &item) {
        const auto &[machine, move] = item;
        const auto workers = workers_.find(move.pool);
        if (move.worker.empty() || workers == workers_.end()) {
            return now - move.chosenAt > kMaxTrackedMs;
        }
        const auto worker = workers->second.find(move.worker);
        if (worker == workers->second.end() || worker->second.startedAt < 0) {
            return now - move.chosenAt > kMaxTrackedMs;
        }
        const auto listedAt = std::max(move.answeredAt, worker->second.listedAt);
        arrivals.push_back({machine, move.pool, move.worker, move.chosenAt - move.neededAt,
                            move.calledAt - move.chosenAt, move.answeredAt - move.calledAt,
                            listedAt - move.answeredAt,
                            std::max(listedAt, worker->second.startedAt) - listedAt});
        return true;
    });
    return arrivals;
}

} // namespace peridotwalk
