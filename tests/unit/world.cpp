#include "world.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace peridotwalk {

namespace {

using Json = nlohmann::json;

constexpr TimeMs kTickMs = 20;
constexpr TimeMs kPollIntervalMs = 60;
constexpr TimeMs kAppendRetryMs = 200;
constexpr TimeMs kRestartDelayMs = 1'000;

// Short times that satisfy checkMembershipSettings().
auto testTimes() -> MembershipSettings
{
    auto times = MembershipSettings{};
    times.heartbeatMs = 200;
    times.suspectAfterMs = 1'000;
    times.fenceLogMs = 3'000;
    times.maxRunMs = 5'000;
    times.evictGraceMs = 9'000;
    times.fencePeersMs = 40'000;
    times.evictUnheardMs = 60'000;
    return times;
}

// The key of the link between two entries, in either order.
auto linkKey(std::size_t left, std::size_t right) -> std::pair<std::size_t, std::size_t>
{
    return {std::min(left, right), std::max(left, right)};
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] World
//-----------------------------------------------------------------------------

World::World(const WorldOptions &options) : options_(options), random_(options.seed)
{
    auto lines = std::vector<std::string>{
        "pool p kind=runner # test",
        "pool w kind=worker # test",
        "service s pool=p time_limit_ms=1000 # test",
        "service long pool=w # test",
        fmt::format("team t share=1 limit={} # test", options.limit),
        fmt::format("key k team=t sha256={} # test", hashKey("key")),
    };
    for (auto zone = 0; zone < options.zones; ++zone) {
        lines.push_back(fmt::format("zone z{} region=r # test", zone));
        for (auto runner = 0; runner < options.runnersPerZone; ++runner) {
            const auto name = fmt::format("r{}{}", zone, runner);
            lines.push_back(fmt::format("instance {} zone=z{} rack=k{} pool=p slots=4 # test", name,
                                        zone, runner));
            listed_[name] = {name, name, false};
        }
        for (auto worker = 0; worker < options.workersPerZone; ++worker) {
            const auto name = fmt::format("w{}{}", zone, worker);
            lines.push_back(fmt::format("instance {} zone=z{} rack=k{} pool=w cpus=4 # test", name,
                                        zone, worker));
            listed_[name] = {name, name, false};
        }
    }
    auto edits = std::vector<RuleEdit>();
    for (const auto &line : lines) {
        edits.push_back({std::get<Rule>(parseRule(line, 1)).key, line, 0});
    }
    publish(std::move(edits));
    for (auto entry = 0; entry < options.zones * options.entriesPerZone; ++entry) {
        nodes_.push_back({});
        nodes_.back().name = fmt::format("e{}", entry);
        nodes_.back().zone = fmt::format("z{}", entry / options.entriesPerZone);
    }
    for (auto &node : nodes_) {
        start(node);
    }
}

auto World::settingsOf(const Node &node) const -> EngineSettings
{
    auto settings = EngineSettings{};
    settings.incarnation = node.incarnation;
    settings.zone = node.zone;
    settings.rack = "rack-" + node.name;
    settings.peerAddress = node.name;
    settings.seed = stableHash(node.incarnation, options_.seed);
    settings.membership = testTimes();
    settings.requests.isolatedOpenMs = 10'000;
    settings.tasks.leaseMs = 1'500;
    settings.tasks.renewMs = 400;
    settings.tasks.callTimeoutMs = 500;
    settings.tasks.urgentWaitMs = 300;
    settings.snapshotEvery = options_.snapshotEvery;
    return settings;
}

auto World::start(Node &node) -> void
{
    node.incarnation = fmt::format("{}#{}", node.name, ++node.incarnationNumber);
    node.engine = std::make_unique<Engine>(settingsOf(node));
    node.isUp = true;
    node.isPaused = false;
    node.delayed.clear();
    node.appends.clear();
    const auto index = static_cast<std::size_t>(&node - nodes_.data());
    at(1, [this, index, incarnationNumber = node.incarnationNumber] {
        tick(index, incarnationNumber);
    });
}

auto World::at(TimeMs delayMs, std::function<void()> action) -> void
{
    events_.push({now_ + delayMs, ++lastSequence_, std::move(action)});
}

auto World::runFor(TimeMs ms) -> void
{
    const auto end = now_ + ms;
    while (!events_.empty() && events_.top().at <= end) {
        auto event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.at);
        event.action();
    }
    now_ = end;
}

auto World::chance(double fraction) -> bool
{
    constexpr auto kSteps = 1'000'000U;
    return fraction > 0 && random_(kSteps) < static_cast<std::uint32_t>(fraction * kSteps);
}

// Delivers an event to one incarnation of an entry. A paused entry gets it when it resumes.
auto World::deliver(std::size_t index, int incarnationNumber, std::function<void(Engine &)> event)
    -> void
{
    auto &node = nodes_[index];
    if (!node.isUp || node.incarnationNumber != incarnationNumber) {
        return;
    }
    if (node.isPaused) {
        node.delayed.emplace_back([this, index, incarnationNumber, event = std::move(event)] {
            deliver(index, incarnationNumber, event);
        });
        return;
    }
    event(*node.engine);
    applyEffects(index);
}

auto World::tick(std::size_t index, int incarnationNumber) -> void
{
    auto &node = nodes_[index];
    if (!node.isUp || node.incarnationNumber != incarnationNumber) {
        return;
    }
    at(kTickMs, [this, index, incarnationNumber] { tick(index, incarnationNumber); });
    if (node.isPaused) {
        return;
    }
    advanceLeases();
    if (now_ % kPollIntervalMs < kTickMs) {
        pollLog(node);
        auto list = std::vector<ListedInstance>();
        for (const auto &[name, instance] : listed_) {
            list.push_back(instance);
        }
        const auto ended =
            std::vector<std::string>(removedInstances_.begin(), removedInstances_.end());
        node.engine->onList(clock(), list, ended);
        for (std::size_t other = 0; other < nodes_.size(); ++other) {
            const auto isUp = other != index && nodes_[other].isUp
                && !partitionedLinks_.contains(linkKey(index, other));
            if (isUp) {
                node.engine->onPeerUp(clock(), nodes_[other].incarnation);
            }
        }
    }
    node.engine->onTick(clock());
    applyEffects(index);
}

auto World::pollLog(Node &node) -> void
{
    if (isLogDown_ || node.isLogIsolated) {
        return;
    }
    const auto oldest = log_.size() > options_.keepRecords
        ? static_cast<Offset>(log_.size() - options_.keepRecords + 1)
        : 1;
    while (true) {
        const auto from = std::max(node.engine->nextReadOffset(), oldest);
        if (from > static_cast<Offset>(log_.size())) {
            break;
        }
        node.engine->onRecord(clock(), from - 1, from, log_[static_cast<std::size_t>(from - 1)]);
    }
    node.engine->onLogHead(clock(), now_);
}

auto World::append(Node &node) -> void
{
    const auto isReachable = node.isUp && !node.isPaused && !isLogDown_ && !node.isLogIsolated;
    if (isReachable) {
        for (auto entry = node.appends.begin(); entry != node.appends.end();) {
            log_.push_back(entry->second);
            referenceState_.apply(static_cast<Offset>(log_.size()), *decodeRecord(entry->second));
            entry = chance(options_.lostAppends) ? std::next(entry) : node.appends.erase(entry);
        }
    }
    if (!node.appends.empty() && node.isUp) {
        const auto index = static_cast<std::size_t>(&node - nodes_.data());
        at(kAppendRetryMs, [this, index, incarnationNumber = node.incarnationNumber] {
            if (nodes_[index].incarnationNumber == incarnationNumber) {
                append(nodes_[index]);
            }
        });
    }
}

auto World::applyEffects(std::size_t index) -> void
{
    auto      &node = nodes_[index];
    const auto incarnationNumber = node.incarnationNumber;
    for (auto &effect : node.engine->takeEffects()) {
        if (const auto *connect = std::get_if<ConnectTarget>(&effect)) {
            attemptTargets_[{index, connect->attempt}] = connect->target;
            const auto isDown = downTargets_.contains(connect->target);
            at(linkDelay(), [this, index, incarnationNumber, isDown, attempt = connect->attempt] {
                deliver(index, incarnationNumber, [this, isDown, attempt](Engine &engine) {
                    if (isDown) {
                        engine.onAttemptEnd(clock(), attempt,
                                            {AttemptEndKind::NotWritten, {}, "down"});
                    } else {
                        engine.onAttemptReady(clock(), attempt);
                    }
                });
            });
        } else if (const auto *call = std::get_if<CallTarget>(&effect)) {
            callTarget(index, *call, attemptTargets_[{index, call->attempt}]);
        } else if (const auto *reply = std::get_if<ReplyCaller>(&effect)) {
            replies_.emplace(reply->handle, reply->reply);
        } else if (const auto *message = std::get_if<SendPeer>(&effect)) {
            sendPeer(index, *message);
        } else if (std::holds_alternative<Retire>(effect)) {
            // The process exits and the platform starts a new one.
            at(kRestartDelayMs, [this, index, incarnationNumber] {
                if (nodes_[index].incarnationNumber == incarnationNumber && nodes_[index].isUp) {
                    crash(static_cast<int>(index));
                    restart(static_cast<int>(index));
                }
            });
        } else if (auto *record = std::get_if<AppendRecord>(&effect)) {
            const auto isFirst = node.appends.empty();
            node.appends[record->id] = record->text;
            if (isFirst) {
                at(linkDelay(), [this, index, incarnationNumber] {
                    if (nodes_[index].incarnationNumber == incarnationNumber) {
                        append(nodes_[index]);
                    }
                });
            }
        }
    }
}

// Messages keep their order. Messages sent while the link is partitioned are lost.
auto World::sendPeer(std::size_t from, const SendPeer &message) -> void
{
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
        if (nodes_[to].incarnation != message.to || partitionedLinks_.contains(linkKey(from, to))) {
            continue;
        }
        auto &last = lastDelivery_[{from, to}];
        last = std::max(last, now_ + linkDelay());
        auto decoder = FrameDecoder();
        decoder.append(encodeFrame(message.message));
        auto decoded = decoder.next();
        auto received = **decoded;
        at(last - now_,
           [this, to, incarnationNumber = nodes_[to].incarnationNumber,
            sender = nodes_[from].incarnation, received] {
               deliver(to, incarnationNumber, [this, sender, received](Engine &engine) {
                   engine.onPeerMessage(clock(), sender, received);
               });
           });
    }
}

auto World::callTarget(std::size_t index, const CallTarget &call, const std::string &target) -> void
{
    const auto incarnationNumber = nodes_[index].incarnationNumber;
    const auto answer = [this, index, incarnationNumber](TimeMs delay, AttemptId attempt,
                                                         const AttemptEnd &end) {
        at(delay, [this, index, incarnationNumber, attempt, end] {
            deliver(index, incarnationNumber, [this, attempt, end](Engine &engine) {
                engine.onAttemptEnd(clock(), attempt, end);
            });
        });
    };
    if (downTargets_.contains(target)) {
        answer(call.timeoutMs, call.attempt, {AttemptEndKind::Broken, {}, "timeout"});
        return;
    }
    if (call.path.starts_with("/leases/")) {
        auto body = callWorker(call, target);
        answer(2 * linkDelay(), call.attempt,
               {AttemptEndKind::Answered, {200, "", std::move(body)}, ""});
        return;
    }
    runRequest(index, call, target);
}

auto World::runRequest(std::size_t index, const CallTarget &call, const std::string &target) -> void
{
    const auto incarnationNumber = nodes_[index].incarnationNumber;
    const auto isLost = chance(options_.lostAnswers);
    const auto runMs =
        1 + static_cast<TimeMs>(random_(static_cast<std::uint32_t>(2 * options_.serviceMs)));
    at(linkDelay(), [this, index, incarnationNumber, call, target, isLost, runMs] {
        const auto run = beginRun(call.requestId, "t", target);
        const auto endsInMs = std::min<TimeMs>(runMs, 1'000);
        at(endsInMs, [this, run] { runs_[run].endedAt = now_; });
        const auto isLate = runMs >= call.timeoutMs;
        const auto wait = isLost || isLate ? call.timeoutMs : endsInMs + linkDelay();
        auto       end = AttemptEnd{AttemptEndKind::Answered, {200, "", call.requestId}, ""};
        if (isLost || isLate) {
            end = {AttemptEndKind::Broken, {}, "lost"};
        }
        at(wait, [this, index, incarnationNumber, end, attempt = call.attempt] {
            deliver(index, incarnationNumber, [this, attempt, end](Engine &engine) {
                engine.onAttemptEnd(clock(), attempt, end);
            });
        });
    });
}

auto World::callWorker(const CallTarget &call, const std::string &worker) -> std::string
{
    advanceLeases();
    const auto parts = splitText(call.path, '/');
    const auto key = fmt::format("{}/{}/{}", parts[2], parts[3], parts[4]);
    const auto action = parts.size() > 5 ? parts[5] : std::string_view();
    const auto body = Json::parse(call.body);
    if (action.empty() && !leases_.contains(key)) {
        auto lease = WorkerLease{};
        lease.run = beginRun(key.substr(0, key.rfind('/')), body.value("team", ""), worker);
        lease.endsAt = now_ + body.value("lease_ms", 0);
        lease.doneAt = now_ + parseInteger(body.value("payload", "500")).value_or(500);
        if (failingTargets_.contains(worker)) {
            lease.state = "failed";
            runs_[lease.run].endedAt = now_;
        }
        leases_.emplace(key, std::move(lease));
    }
    const auto found = leases_.find(key);
    if (found == leases_.end()) {
        return R"({"state": "unknown"})";
    }
    auto &lease = found->second;
    if (action == "renew" && lease.state == "running") {
        lease.endsAt = now_ + body.value("lease_ms", 0);
    } else if (!action.empty() && action != "renew" && lease.state == "running") {
        lease.state = "stopped";
        runs_[lease.run].endedAt = now_;
    }
    return Json{{"state", lease.state}, {"checkpoint", "c"}}.dump();
}

auto World::advanceLeases() -> void
{
    for (auto &[key, lease] : leases_) {
        if (lease.state == "running" && now_ >= std::min(lease.doneAt, lease.endsAt)) {
            lease.state = now_ >= lease.doneAt ? "done" : "stopped";
            runs_[lease.run].endedAt = now_;
        }
    }
}

auto World::beginRun(const std::string &id, const std::string &team, const std::string &target)
    -> std::size_t
{
    advanceLeases();
    runs_.push_back({id, team, target, now_, -1});
    peakRunning_ = std::max(peakRunning_, runningOf("t"));
    return runs_.size() - 1;
}

// Operators

auto World::publish(std::vector<RuleEdit> edits) -> std::string
{
    auto id = fmt::format("change/{}", ++lastChange_);
    log_.push_back(encodeRecord(ConfigChange{id, "test", std::move(edits)}));
    referenceState_.apply(static_cast<Offset>(log_.size()), *decodeRecord(log_.back()));
    return id;
}

auto World::setRule(const std::string &line) -> void
{
    const auto  key = std::get<Rule>(parseRule(line, 1)).key;
    const auto *present = referenceState_.rules().find(key);
    publish({{key, line, present == nullptr ? 0 : present->version}});
}

auto World::eraseRule(const std::string &key) -> void
{
    publish({{key, "", referenceState_.rules().find(key)->version}});
}

// Callers

auto World::makeId(int zone) -> std::string
{
    const auto wall = static_cast<std::uint64_t>(kWallStart + now_);
    return fmt::format("z{}/{:08x}-{:04x}-7000-8000-{:012x}", zone, wall >> 16U, wall & 0xFFFFU,
                       ++lastId_);
}

auto World::sendOnce(int entry, const std::string &id) -> CallerHandle
{
    const auto handle = ++lastHandle_;
    calls_[handle] = id;
    const auto index = static_cast<std::size_t>(entry);
    at(linkDelay(), [this, index, handle, id] {
        deliver(index, nodes_[index].incarnationNumber, [this, handle, id](Engine &engine) {
            engine.onCallerRequest(clock(), handle,
                                   {id, hashKey("key"), "s", "", "", 3'000, false});
        });
    });
    return handle;
}

auto World::sendRepeatable(int entry, const std::string &key) -> CallerHandle
{
    const auto handle = ++lastHandle_;
    calls_[handle] = fmt::format("q{}", handle);
    const auto index = static_cast<std::size_t>(entry);
    at(linkDelay(), [this, index, handle, key] {
        deliver(index, nodes_[index].incarnationNumber, [this, handle, key](Engine &engine) {
            engine.onCallerRequest(clock(), handle,
                                   {calls_.at(handle), hashKey(key), "s", "", "", 3'000, true});
        });
    });
    return handle;
}

auto World::submit(int entry, const std::string &id, TaskSpec spec) -> CallerHandle
{
    const auto handle = ++lastHandle_;
    calls_[handle] = id;
    const auto index = static_cast<std::size_t>(entry);
    spec.service = "long";
    deliver(index, nodes_[index].incarnationNumber, [&](Engine &engine) {
        engine.onTaskSubmit(clock(), handle, id, hashKey("key"), spec);
    });
    return handle;
}

// Faults

auto World::crash(int entry) -> void
{
    auto &node = nodes_[static_cast<std::size_t>(entry)];
    node.isUp = false;
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
        disconnectPeer(other, node.incarnation);
    }
}

auto World::restart(int entry) -> void
{
    start(nodes_[static_cast<std::size_t>(entry)]);
}

auto World::setPaused(int entry, bool isPaused) -> void
{
    auto &node = nodes_[static_cast<std::size_t>(entry)];
    node.isPaused = isPaused;
    if (!isPaused) {
        for (const auto &event : std::exchange(node.delayed, {})) {
            event();
        }
    }
}

auto World::setPartitioned(int left, int right, bool isPartitioned) -> void
{
    const auto link = linkKey(static_cast<std::size_t>(left), static_cast<std::size_t>(right));
    if (!isPartitioned) {
        partitionedLinks_.erase(link);
        return;
    }
    partitionedLinks_.insert(link);
    disconnectPeer(link.first, nodes_[link.second].incarnation);
    disconnectPeer(link.second, nodes_[link.first].incarnation);
}

auto World::disconnectPeer(std::size_t index, const Incarnation &peer) -> void
{
    deliver(index, nodes_[index].incarnationNumber,
            [this, peer](Engine &engine) { engine.onPeerDown(clock(), peer); });
}

auto World::setLogIsolated(int entry, bool isIsolated) -> void
{
    nodes_[static_cast<std::size_t>(entry)].isLogIsolated = isIsolated;
}

auto World::setTargetDown(const std::string &target, bool isDown) -> void
{
    isDown ? void(downTargets_.insert(target)) : void(downTargets_.erase(target));
}

auto World::setTargetFailing(const std::string &worker, bool isFailing) -> void
{
    isFailing ? void(failingTargets_.insert(worker)) : void(failingTargets_.erase(worker));
}

auto World::setLeaving(const std::string &target, bool isLeaving) -> void
{
    listed_[target].isLeaving = isLeaving;
}

auto World::healAll() -> void
{
    partitionedLinks_.clear();
    isLogDown_ = false;
    downTargets_.clear();
    for (auto entry = 0; entry < entries(); ++entry) {
        setLogIsolated(entry, false);
        if (!isUp(entry)) {
            restart(entry);
        } else if (nodes_[static_cast<std::size_t>(entry)].isPaused) {
            setPaused(entry, false);
        }
    }
}

// Queries

auto World::zoneOf(int entry) const -> std::string
{
    return nodes_[static_cast<std::size_t>(entry)].zone;
}

auto World::reply(CallerHandle handle) const -> const Reply *
{
    const auto found = replies_.find(handle);
    return found == replies_.end() ? nullptr : &found->second;
}

auto World::runsOf(std::string_view id) const -> std::int64_t
{
    return std::ranges::count(runs_, id, &Run::id);
}

auto World::runningOf(std::string_view team) const -> std::int64_t
{
    return std::ranges::count_if(
        runs_, [&](const Run &run) { return run.team == team && run.endedAt < 0; });
}

auto World::unitsOf(std::string_view team) -> std::int64_t
{
    std::int64_t sum = 0;
    for (auto &node : nodes_) {
        if (!node.isUp) {
            continue;
        }
        for (const auto &status : node.engine->status(clock()).teams) {
            sum += status.team == team ? status.free + status.inUse : 0;
        }
    }
    return sum;
}

} // namespace peridotwalk
