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
    teamQueues_[std::string(team)].share = share;
}

auto FairQueue::push(WaitingRequest request) -> void
{
    auto &queue = teamQueues_[request.team];
    if (queue.waiting.empty()) {
        queue.usage = std::max(queue.usage, minWaitingUsage().value_or(virtualTime_));
    }
    nextDeadline_ = size_ == 0 ? request.deadline : std::min(nextDeadline_, request.deadline);
    queue.waiting.push_back(std::move(request));
    ++size_;
}

auto FairQueue::pop(const IsEligible &isEligible) -> std::optional<WaitingRequest>
{
    TeamQueue *best = nullptr;
    for (auto &[team, queue] : teamQueues_) {
        const auto isLess = best == nullptr || queue.usage < best->usage;
        if (!queue.waiting.empty() && isLess && isEligible(queue.waiting.front())) {
            best = &queue;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    auto request = std::move(best->waiting.front());
    best->waiting.pop_front();
    --size_;
    virtualTime_ = std::max(virtualTime_, best->usage);
    best->usage += request.cost / best->share;
    return request;
}

auto FairQueue::remove(std::string_view id) -> bool
{
    for (auto &[team, queue] : teamQueues_) {
        const auto found = std::ranges::find(queue.waiting, id, &WaitingRequest::id);
        if (found != queue.waiting.end()) {
            queue.waiting.erase(found);
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
    for (auto &[team, queue] : teamQueues_) {
        const auto isWaiting = [now](const WaitingRequest &request) {
            return now < request.deadline;
        };
        const auto late =
            std::stable_partition(queue.waiting.begin(), queue.waiting.end(), isWaiting);
        std::move(late, queue.waiting.end(), std::back_inserter(expired));
        queue.waiting.erase(late, queue.waiting.end());
        for (const auto &request : queue.waiting) {
            nextDeadline_ = std::min(nextDeadline_, request.deadline);
        }
    }
    size_ -= expired.size();
    return expired;
}

auto FairQueue::charge(std::string_view team, double cost) -> void
{
    auto &queue = teamQueues_[std::string(team)];
    queue.usage += cost / queue.share;
}

auto FairQueue::sizeOf(std::string_view team) const -> std::size_t
{
    const auto found = teamQueues_.find(team);
    return found == teamQueues_.end() ? 0 : found->second.waiting.size();
}

auto FairQueue::usage(std::string_view team) const -> double
{
    const auto found = teamQueues_.find(team);
    return found == teamQueues_.end() ? 0 : found->second.usage;
}

auto FairQueue::forEachTeam(
    const std::function<void(const std::string &, std::size_t)> &visit) const -> void
{
    for (const auto &[team, queue] : teamQueues_) {
        if (!queue.waiting.empty()) {
            visit(team, queue.waiting.size());
        }
    }
}

auto FairQueue::minWaitingUsage() const -> std::optional<double>
{
    auto least = std::optional<double>();
    for (const auto &[team, queue] : teamQueues_) {
        if (!queue.waiting.empty() && (!least || queue.usage < *least)) {
            least = queue.usage;
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
        found->second += kSmoothingFactor * (sample - found->second);
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
