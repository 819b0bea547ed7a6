#include "routing/routing.h"

#include <algorithm>

namespace peridotwalk {

namespace {

auto load(const Target &target) -> double
{
    const auto sent = static_cast<double>(target.outstanding + target.peerOutstanding);
    return sent / static_cast<double>(std::max<std::int64_t>(1, target.slots));
}

auto randomIndex(Random &random, std::size_t size) -> std::size_t
{
    return random(static_cast<std::uint32_t>(size));
}

class HeldSlotPolicy final : public RoutingPolicy
{
public:
    auto name() const -> std::string_view override { return "held-slots"; }
    auto needsSlots() const -> bool override { return true; }

    auto pick(const PickInput &input) -> std::optional<std::size_t> override
    {
        auto       best = std::optional<std::size_t>();
        const auto offset = randomIndex(input.random, input.candidates.size());
        for (std::size_t step = 0; step < input.candidates.size(); ++step) {
            const auto index = (offset + step) % input.candidates.size();
            if (input.slotsFree[index] > 0 && (!best || isBetter(input, index, *best))) {
                best = index;
            }
        }
        return best;
    }

private:
    static auto isBetter(const PickInput &input, std::size_t left, std::size_t right) -> bool
    {
        const auto leftIsNear = input.candidates[left]->zone == input.zone;
        const auto rightIsNear = input.candidates[right]->zone == input.zone;
        if (leftIsNear != rightIsNear) {
            return leftIsNear;
        }
        return input.slotsFree[left] > input.slotsFree[right];
    }
};

class RandomPolicy final : public RoutingPolicy
{
public:
    auto name() const -> std::string_view override { return "random"; }

    auto pick(const PickInput &input) -> std::optional<std::size_t> override
    {
        return randomIndex(input.random, input.candidates.size());
    }
};

class RoundRobinPolicy final : public RoutingPolicy
{
public:
    auto name() const -> std::string_view override { return "round-robin"; }

    auto pick(const PickInput &input) -> std::optional<std::size_t> override
    {
        return next_++ % input.candidates.size();
    }

private:
    std::size_t next_ = 0;
};

class LeastOutstandingPolicy final : public RoutingPolicy
{
public:
    auto name() const -> std::string_view override { return "least-outstanding"; }

    auto pick(const PickInput &input) -> std::optional<std::size_t> override
    {
        const auto offset = randomIndex(input.random, input.candidates.size());
        auto       best = offset;
        for (std::size_t step = 1; step < input.candidates.size(); ++step) {
            const auto index = (offset + step) % input.candidates.size();
            if (load(*input.candidates[index]) < load(*input.candidates[best])) {
                best = index;
            }
        }
        return best;
    }
};

class TwoChoicesPolicy final : public RoutingPolicy
{
public:
    auto name() const -> std::string_view override { return "two-choices"; }

    auto pick(const PickInput &input) -> std::optional<std::size_t> override
    {
        const auto first = randomIndex(input.random, input.candidates.size());
        const auto second = randomIndex(input.random, input.candidates.size());
        return load(*input.candidates[second]) < load(*input.candidates[first]) ? second : first;
    }
};

// Adds each target's weight to its current weight, picks the largest, and subtracts the sum of all weights
// from the one picked.
// From "Digging into nginx's Source 12", section 2; kept as a baseline only.
class SmoothWeightedPolicy final : public RoutingPolicy
{
public:
    auto name() const -> std::string_view override { return "smooth-weighted"; }

    auto pick(const PickInput &input) -> std::optional<std::size_t> override
    {
        std::int64_t total = 0;
        std::size_t  best = 0;
        for (std::size_t index = 0; index < input.candidates.size(); ++index) {
            auto &target = *input.candidates[index];
            target.currentWeight += target.slots;
            total += target.slots;
            if (target.currentWeight > input.candidates[best]->currentWeight) {
                best = index;
            }
        }
        input.candidates[best]->currentWeight -= total;
        return best;
    }
};

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Policies
//-----------------------------------------------------------------------------

auto makeHeldSlotPolicy() -> std::unique_ptr<RoutingPolicy>
{
    return std::make_unique<HeldSlotPolicy>();
}

auto makeRandomPolicy() -> std::unique_ptr<RoutingPolicy>
{
    return std::make_unique<RandomPolicy>();
}

auto makeRoundRobinPolicy() -> std::unique_ptr<RoutingPolicy>
{
    return std::make_unique<RoundRobinPolicy>();
}

auto makeLeastOutstandingPolicy() -> std::unique_ptr<RoutingPolicy>
{
    return std::make_unique<LeastOutstandingPolicy>();
}

auto makeTwoChoicesPolicy() -> std::unique_ptr<RoutingPolicy>
{
    return std::make_unique<TwoChoicesPolicy>();
}

auto makeSmoothWeightedPolicy() -> std::unique_ptr<RoutingPolicy>
{
    return std::make_unique<SmoothWeightedPolicy>();
}

auto makePolicy(std::string_view name) -> std::unique_ptr<RoutingPolicy>
{
    constexpr std::unique_ptr<RoutingPolicy> (*kMakers[])() = {
        makeHeldSlotPolicy,         makeRandomPolicy,     makeRoundRobinPolicy,
        makeLeastOutstandingPolicy, makeTwoChoicesPolicy, makeSmoothWeightedPolicy};
    for (const auto &maker : kMakers) {
        auto policy = maker();
        if (policy->name() == name) {
            return policy;
        }
    }
    return nullptr;
}

} // namespace peridotwalk
