#include "pool/pool_internal.h"

#include <algorithm>
#include <tuple>

namespace peridotwalk {

namespace {

auto isBefore(const CapacityIndex::Entry &left, const CapacityIndex::Entry &right) -> bool
{
    return std::tie(left.freeCpu, left.order) < std::tie(right.freeCpu, right.order);
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Capacity index
//-----------------------------------------------------------------------------

auto CapacityIndex::add(Worker &worker) -> void
{
    entries_.push_back({worker.freeCapacity().cpu, std::ssize(entries_), &worker});
    largestCpu_ = std::max({std::int64_t{1}, largestCpu_, worker.report.capacity.cpu});
}

auto CapacityIndex::sort() -> void
{
    std::ranges::sort(entries_, isBefore);
}

auto CapacityIndex::clear() -> void
{
    entries_.clear();
    largestCpu_ = 0;
}

auto CapacityIndex::update(const Worker &worker, std::int64_t freeCpuBefore) -> void
{
    auto found = std::ranges::lower_bound(entries_, freeCpuBefore, {}, &Entry::freeCpu);
    while (found != entries_.end() && found->freeCpu == freeCpuBefore && found->worker != &worker) {
        ++found;
    }
    if (found == entries_.end() || found->worker != &worker) {
        return;
    }
    auto changed = *found;
    changed.freeCpu = worker.freeCapacity().cpu;
    entries_.erase(found);
    entries_.insert(std::ranges::lower_bound(entries_, changed, isBefore), changed);
}

auto CapacityIndex::workersWith(std::int64_t cpu) const -> std::span<const Entry>
{
    return {std::ranges::lower_bound(entries_, cpu, {}, &Entry::freeCpu), entries_.end()};
}

} // namespace peridotwalk
