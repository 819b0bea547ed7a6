#include "node/node_internal.h"

#include <algorithm>

namespace peridotwalk {

namespace {

constexpr TimeMs kHandoverTimeoutMs = 400; // A store that needs longer for a record is failing.

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Pools task
//-----------------------------------------------------------------------------

PoolsTask::PoolsTask(EventLoop &loop, PoolServices services, const NodeSettings &settings,
                     DirectoryTask &directory, OwnershipTask &ownership)
    : loop_(loop), services_(std::move(services)), settings_(settings), directory_(directory),
      ownership_(ownership),
      timer_(std::make_unique<Timer>(loop, settings.tickMs, [this] { tick(); }))
{
    directory.changed.connect([this] {
        if (directory_.hasOperators()) {
            ownership_.allowJoin();
        }
        refresh();
        for (auto &[name, pool] : pools_) {
            pool->onViewChanged();
        }
    });
    ownership.changed.connect([this](const OwnershipChange &) { refresh(); });
    ownership.memberChanged.connect([this](bool isMember) { directory_.setMember(isMember); });
    ownership.startHandoverOfLost = [this](std::function<void()> done) {
        startHandover(false, std::move(done));
    };
    // Another node may have owned an unchecked partition meanwhile, so its pools' terms aren't extended.
    ownership.renewed.connect([this](TimeMs termUntil) {
        const auto &unchecked = ownership_.ownership().unchecked();
        for (auto &[name, pool] : pools_) {
            if (!unchecked.contains(partitionOf(name, settings_.ownership.partitions))) {
                pool->setTerm(termUntil);
            }
        }
    });
}

auto PoolsTask::isOwned(const std::string &name, const PoolTask &pool) const -> bool
{
    const auto &tokens = ownership_.ownership().tokens();
    const auto  token = tokens.find(partitionOf(name, settings_.ownership.partitions));
    return token != tokens.end() && token->second == pool.identity().token;
}

auto PoolsTask::startHandover(bool isAll, std::function<void()> done) -> void
{
    handoverTimeoutAt_ = bootMs() + kHandoverTimeoutMs;
    onHandoverDone_.push_back(std::move(done));
    for (auto &[name, pool] : pools_) {
        if (isAll || !isOwned(name, *pool)) {
            leaving_.insert(name);
            pool->beginHandover();
        }
    }
    checkHandover();
}

auto PoolsTask::checkHandover() -> void
{
    if (onHandoverDone_.empty()) {
        return;
    }
    const auto isHandoverComplete = std::ranges::all_of(leaving_, [&](const auto &name) {
        const auto found = pools_.find(name);
        return found == pools_.end() || found->second->isHandoverDone();
    });
    if (!isHandoverComplete && bootMs() < handoverTimeoutAt_) {
        return;
    }
    for (const auto &name : leaving_) {
        logEvent(LogLevel::Info, "pool.released",
                 {{"pool", name}, {"in_time", isHandoverComplete}});
        pools_.erase(name);
    }
    leaving_.clear();
    for (const auto &done : std::exchange(onHandoverDone_, {})) {
        done();
    }
    refresh();
}

auto PoolsTask::refresh() -> void
{
    std::erase_if(pools_, [&](const auto &item) {
        return !isOwned(item.first, *item.second) && !leaving_.contains(item.first)
            && item.second->isFenced();
    });
    if (!directory_.hasWorkers()) {
        return;
    }
    auto names = directory_.view().pools;
    names.insert(asked_.begin(), asked_.end());
    for (const auto &pool : names) {
        const auto &tokens = ownership_.ownership().tokens();
        const auto  partition = partitionOf(pool, settings_.ownership.partitions);
        const auto  token = tokens.find(partition);
        if (token != tokens.end() && !pools_.contains(pool) && usedTokens_[pool] != token->second) {
            usedTokens_[pool] = token->second;
            auto task = std::make_unique<PoolTask>(loop_, services_, settings_, directory_.view(),
                                                   PoolIdentity{pool, token->second}, partition);
            task->setTerm(ownership_.ownership().termUntil());
            pools_[pool] = std::move(task);
        }
    }
}

auto PoolsTask::tick() -> void
{
    directory_.setOwner(
        std::ranges::any_of(pools_, [](const auto &item) { return !item.second->isDormant(); }));
    checkHandover();
    for (auto &[name, pool] : pools_) {
        pool->tick();
    }
    ticked.emit();
}

auto PoolsTask::setCallPool(decltype(PoolServices::callPool) callPool) -> void
{
    services_.callPool = std::move(callPool);
}

auto PoolsTask::handle(const PoolCall &call, PoolAnswerSlot slot) -> void
{
    const auto found = pools_.find(call.pool);
    if (found == pools_.end()) {
        // A pool without a queue isn't taken over before another one asks for its jobs.
        if (asked_.insert(call.pool).second) {
            refresh();
        }
        slot({PoolStatus::NotOwner, JobState::Queued, 0, "this node doesn't own the pool", 0});
        return;
    }
    found->second->handle(call, std::move(slot));
}

} // namespace peridotwalk
