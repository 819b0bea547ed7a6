#include "scheduling/scheduling.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <limits>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Fair queue
//-----------------------------------------------------------------------------

auto FairQueue::setShare(std::string_view team, double share) -> void
{
    lines_[std::string(team)].share = share;
}

auto FairQueue::push(WaitingRequest request) -> void
{
    auto &line = lines_[request.team];
    if (line.waiting.empty()) {
        line.usage = std::max(line.usage, leastUsageOfWaiting().value_or(floor_));
    }
    nextDeadline_ = size_ == 0 ? request.deadline : std::min(nextDeadline_, request.deadline);
    line.waiting.push_back(std::move(request));
    ++size_;
}

auto FairQueue::pop(const IsEligible &isEligible) -> std::optional<WaitingRequest>
{
    Line *best = nullptr;
    for (auto &[team, line] : lines_) {
        const auto isLess = best == nullptr || line.usage < best->usage;
        if (!line.waiting.empty() && isLess && isEligible(line.waiting.front())) {
            best = &line;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    auto request = std::move(best->waiting.front());
    best->waiting.pop_front();
    --size_;
    floor_ = std::max(floor_, best->usage);
    best->usage += request.cost / best->share;
    return request;
}

auto FairQueue::remove(std::string_view id) -> bool
{
    for (auto &[team, line] : lines_) {
        const auto found = std::ranges::find(line.waiting, id, &WaitingRequest::id);
        if (found != line.waiting.end()) {
            line.waiting.erase(found);
            --size_;
            return true;
        }
    }
    return false;
}

auto FairQueue::popExpired(TimeMs now) -> std::vector<WaitingRequest>
{
    auto expired = std::vector<WaitingRequest>();
    if (size_ == 0 || now < nextDeadline_) {
        return expired;
    }
    nextDeadline_ = std::numeric_limits<TimeMs>::max();
    for (auto &[team, line] : lines_) {
        const auto isWaiting = [now](const WaitingRequest &request) {
            return now < request.deadline;
        };
        const auto late =
            std::stable_partition(line.waiting.begin(), line.waiting.end(), isWaiting);
        std::move(late, line.waiting.end(), std::back_inserter(expired));
        line.waiting.erase(late, line.waiting.end());
        for (const auto &request : line.waiting) {
            nextDeadline_ = std::min(nextDeadline_, request.deadline);
        }
    }
    size_ -= expired.size();
    return expired;
}

auto FairQueue::charge(std::string_view team, double cost) -> void
{
    auto &line = lines_[std::string(team)];
    line.usage += cost / line.share;
}

auto FairQueue::sizeOf(std::string_view team) const -> std::size_t
{
    const auto found = lines_.find(team);
    return found == lines_.end() ? 0 : found->second.waiting.size();
}

auto FairQueue::usage(std::string_view team) const -> double
{
    const auto found = lines_.find(team);
    return found == lines_.end() ? 0 : found->second.usage;
}

auto FairQueue::forEachTeam(
    const std::function<void(const std::string &, std::size_t)> &visit) const -> void
{
    for (const auto &[team, line] : lines_) {
        if (!line.waiting.empty()) {
            visit(team, line.waiting.size());
        }
    }
}

auto FairQueue::leastUsageOfWaiting() const -> std::optional<double>
{
    auto least = std::optional<double>();
    for (const auto &[team, line] : lines_) {
        if (!line.waiting.empty() && (!least || line.usage < *least)) {
            least = line.usage;
        }
    }
    return least;
}

//-----------------------------------------------------------------------------
// [SECTION] Run time estimates
//-----------------------------------------------------------------------------

auto RunTimeEstimates::observe(std::string_view team, std::string_view service, TimeMs ranMs)
    -> void
{
    auto       key = fmt::format("{}/{}", team, service);
    const auto found = averages_.find(key);
    const auto sample = static_cast<double>(ranMs);
    if (found != averages_.end()) {
        found->second += kNewWeight * (sample - found->second);
        return;
    }
    if (averages_.size() < kMaxEntries) {
        averages_.emplace(std::move(key), sample);
    }
}

auto RunTimeEstimates::estimate(std::string_view team, std::string_view service,
                                TimeMs fallbackMs) const -> double
{
    const auto found = averages_.find(fmt::format("{}/{}", team, service));
    return found == averages_.end() ? static_cast<double>(fallbackMs) : found->second;
}

} // namespace peridotwalk
