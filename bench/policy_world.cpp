#include "policy_world.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace peridotwalk {

namespace {

constexpr int    kSlots = 8;
constexpr TimeMs kBetweenZones = 14; // One-way delay, 1.4 ms.
constexpr TimeMs kInsideZone = 3;    // One-way delay, 0.3 ms.
constexpr TimeMs kTick = 10;         // Interval of Engine::onTick(), 1 ms.
// The arrival rate of a service outside its bursts is a fifth of this times that in a burst.
constexpr double kQuietLoad = 0.05;
constexpr int    kRunnersPerRack = 4;

auto uniform(Random &random) -> double
{
    return (static_cast<double>(random()) + 0.5) / 4'294'967'296.0;
}

auto zoneName(int zone) -> std::string
{
    return fmt::format("z{}", zone);
}

// Scales the settings from ms to the benchmark's time units.
auto scaledSettings(const Scenario &scenario, int entry) -> EngineSettings
{
    auto settings = EngineSettings{};
    settings.incarnation = fmt::format("e{}#1", entry);
    settings.zone = zoneName(entry / scenario.entriesPerZone);
    settings.rack = settings.incarnation;
    settings.seed = scenario.seed * 100 + static_cast<std::uint64_t>(entry);
    settings.routing.policy = scenario.policy;
    settings.routing.slotOvercommit = scenario.slotOvercommit;
    settings.routing.slowStartMs *= kUnitsPerMs;
    settings.routing.ejectMs *= kUnitsPerMs;
    settings.routing.ejectMaxMs *= kUnitsPerMs;
    settings.requests.unitRequestIntervalMs = 2 * kUnitsPerMs;
    settings.membership.heartbeatMs *= kUnitsPerMs;
    settings.membership.suspectAfterMs *= kUnitsPerMs;
    settings.membership.fenceLogMs *= kUnitsPerMs;
    settings.membership.evictGraceMs *= kUnitsPerMs;
    settings.membership.fencePeersMs *= kUnitsPerMs;
    settings.membership.evictUnheardMs *= kUnitsPerMs;
    settings.membership.maxRunMs *= kUnitsPerMs;
    settings.snapshotEvery = 1'000'000;
    return settings;
}

class PolicyWorld
{
public:
    PolicyWorld(const Scenario &scenario, std::span<const Arrival> arrivals)
        : scenario_(scenario), arrivals_(arrivals)
    {
        writeRules();
        const auto count = scenario.zones * scenario.entriesPerZone;
        for (auto entry = 0; entry < count; ++entry) {
            engines_.push_back(std::make_unique<Engine>(scaledSettings(scenario, entry)));
            names_[fmt::format("e{}#1", entry)] = entry;
        }
        for (auto entry = 0; entry < count; ++entry) {
            for (const auto &[name, other] : names_) {
                if (other != entry) {
                    engines_[static_cast<std::size_t>(entry)]->onPeerUp(clock(), name);
                }
            }
            at(entry, [this, entry] { tick(entry); });
        }
        // Load starts once engines are ready and slots have been distributed.
        warmUp_ = 6'000 * kUnitsPerMs;
        for (std::size_t index = 0; index < arrivals.size(); ++index) {
            at(warmUp_ + arrivals[index].at, [this, index] { arrive(index); });
        }
        scheduleFaults();
    }

    auto run() -> Result
    {
        const auto end = warmUp_ + (scenario_.runMs + scenario_.deadlineMs) * kUnitsPerMs;
        while (!events_.empty() && events_.top().at <= end) {
            const auto event = events_.top();
            events_.pop();
            now_ = event.at;
            event.action();
        }
        return std::move(result_);
    }

private:
    struct Event {
        TimeMs                at = 0;
        std::int64_t          sequence = 0; // Order of events at the same time.
        std::function<void()> action;

        auto operator<(const Event &other) const -> bool
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    struct Runner {
        std::string                       zone;
        bool                              isDead = false;
        bool                              isSlow = false;
        int                               running = 0;
        std::deque<std::function<void()>> waiting;
    };

    auto clock() const -> Now { return {now_, 1'700'000'000'000 + now_ / kUnitsPerMs}; }

    auto at(TimeMs time, std::function<void()> action) -> void
    {
        events_.push({std::max(time, now_), ++lastSequence_, std::move(action)});
    }

    auto delay(std::string_view fromZone, std::string_view toZone) const -> TimeMs
    {
        return fromZone == toZone ? kInsideZone : kBetweenZones;
    }

    auto zoneOf(int entry) const -> std::string
    {
        return zoneName(entry / scenario_.entriesPerZone);
    }

    auto writeRules() -> void
    {
        auto lines = std::vector<std::string>();
        for (auto zone = 0; zone < scenario_.zones; ++zone) {
            lines.push_back(fmt::format("zone {} region=r # bench", zoneName(zone)));
        }
        auto number = 0;
        for (std::size_t service = 0; service < scenario_.runners.size(); ++service) {
            lines.push_back(fmt::format("pool p{} kind=runner # bench", service));
            lines.push_back(fmt::format(
                "service s{0} pool=p{0} time_limit_ms=50000 queue_cap=100000 # bench", service));
            for (auto runner = 0; runner < scenario_.runners[service]; ++runner, ++number) {
                const auto name = fmt::format("r{}", number);
                const auto zone = zoneName(number % scenario_.zones);
                const auto rack = number / scenario_.zones / kRunnersPerRack;
                lines.push_back(
                    fmt::format("instance {} zone={} rack=k{} pool=p{} slots={} # bench", name,
                                zone, rack, service, kSlots));
                runners_[name].zone = zone;
                runners_[name].isSlow = number == scenario_.slowRunner;
                list_.push_back({name, name, false});
                if (rack == 0 && zone == zoneName(0)) {
                    firstRack_.push_back(name);
                }
            }
        }
        for (const auto &team : scenario_.teams) {
            lines.push_back(
                fmt::format("team {} share={} limit=100000 # bench", team.name, team.share));
            lines.push_back(
                fmt::format("key {0} team={0} sha256={1} # bench", team.name, hashKey(team.name)));
        }
        auto edits = std::vector<RuleEdit>();
        for (const auto &line : lines) {
            edits.push_back({std::get<Rule>(parseRule(line, 1)).key, line, 0});
        }
        append(ConfigChange{"rules", "bench", std::move(edits)});
    }

    auto append(const Record &record) -> void { log_.push_back(encodeRecord(record)); }

    auto setZoneOut(bool isOut) -> void
    {
        const auto zone = zoneName(scenario_.zones - 1);
        const auto version = engines_[0]->state().rules().find("zone/" + zone)->version;
        const auto line =
            fmt::format("zone {} region=r out={} # bench", zone, isOut ? "yes" : "no");
        append(ConfigChange{
            fmt::format("zone/{}", isOut), "bench", {{"zone/" + zone, line, version}}});
    }

    auto scheduleFaults() -> void
    {
        if (scenario_.zoneOutAtMs >= 0) {
            at(warmUp_ + scenario_.zoneOutAtMs * kUnitsPerMs, [this] { setZoneOut(true); });
            at(warmUp_ + scenario_.zoneBackAtMs * kUnitsPerMs, [this] { setZoneOut(false); });
        }
        if (scenario_.rackDeadAtMs >= 0) {
            at(warmUp_ + scenario_.rackDeadAtMs * kUnitsPerMs, [this] {
                for (const auto &name : firstRack_) {
                    runners_[name].isDead = true;
                }
            });
        }
    }

    auto tick(int entry) -> void
    {
        auto &engine = *engines_[static_cast<std::size_t>(entry)];
        while (engine.nextReadOffset() <= static_cast<Offset>(log_.size())) {
            const auto from = engine.nextReadOffset();
            engine.onRecord(clock(), from - 1, from, log_[static_cast<std::size_t>(from - 1)]);
        }
        constexpr TimeMs kListEvery = 500 * kUnitsPerMs;
        if (now_ / kTick % (kListEvery / kTick) == 0) {
            engine.onLogHead(clock(), now_);
            engine.onList(clock(), list_, {});
        }
        engine.onTick(clock());
        carryOut(entry);
        at(now_ + kTick, [this, entry] { tick(entry); });
    }

    auto arrive(std::size_t index) -> void
    {
        const auto &arrival = arrivals_[index];
        ++result_.arrived;
        const auto &team = scenario_.teams[static_cast<std::size_t>(arrival.team)].name;
        auto        request = CallerRequest{};
        request.id = fmt::format("{}", index);
        request.keyHash = keyHash(team);
        request.service = fmt::format("s{}", arrival.service);
        request.timeoutMs = scenario_.deadlineMs * kUnitsPerMs;
        request.isRepeatable = true;
        engines_[static_cast<std::size_t>(arrival.entry)]->onCallerRequest(
            clock(), static_cast<CallerHandle>(index + 1), std::move(request));
        carryOut(arrival.entry);
    }

    auto keyHash(const std::string &team) -> const std::string &
    {
        auto &hash = hashes_[team];
        if (hash.empty()) {
            hash = hashKey(team);
        }
        return hash;
    }

    auto carryOut(int entry) -> void
    {
        auto &engine = *engines_[static_cast<std::size_t>(entry)];
        for (auto &effect : engine.takeEffects()) {
            if (const auto *connect = std::get_if<ConnectTarget>(&effect)) {
                onConnect(entry, *connect);
            } else if (const auto *call = std::get_if<CallTarget>(&effect)) {
                onCall(entry, *call);
            } else if (const auto *reply = std::get_if<ReplyCaller>(&effect)) {
                result_.answered += reply->reply.outcome == Outcome::Answered ? 1 : 0;
            } else if (auto *message = std::get_if<SendPeer>(&effect)) {
                onSend(entry, *message);
            } else if (const auto *record = std::get_if<AppendRecord>(&effect)) {
                log_.push_back(record->text);
            }
        }
    }

    auto onConnect(int entry, const ConnectTarget &connect) -> void
    {
        ++result_.attempts;
        attempts_[{entry, connect.attempt}] = connect.target;
        const auto       isDead = runners_[connect.target].isDead;
        constexpr TimeMs kConnectTimeout = 1'000 * kUnitsPerMs;
        at(now_ + (isDead ? kConnectTimeout : 0), [this, entry, isDead, attempt = connect.attempt] {
            auto &engine = *engines_[static_cast<std::size_t>(entry)];
            if (isDead) {
                engine.onAttemptEnd(clock(), attempt, {AttemptEndKind::NotWritten, {}, "timeout"});
            } else {
                engine.onAttemptReady(clock(), attempt);
            }
            carryOut(entry);
        });
    }

    auto onCall(int entry, const CallTarget &call) -> void
    {
        const auto name = attempts_[{entry, call.attempt}];
        attempts_.erase({entry, call.attempt});
        const auto oneWayDelay = delay(zoneOf(entry), runners_[name].zone);
        at(now_ + oneWayDelay, [this, entry, name, oneWayDelay, call] {
            auto &runner = runners_[name];
            runner.waiting.emplace_back(
                [this, entry, name, oneWayDelay, call] { serve(entry, name, oneWayDelay, call); });
            startWaiting(runner);
        });
        at(now_ + call.timeoutMs, [this, entry, attempt = call.attempt] {
            engines_[static_cast<std::size_t>(entry)]->onAttemptEnd(
                clock(), attempt, {AttemptEndKind::Broken, {}, "timeout"});
            carryOut(entry);
        });
    }

    auto startWaiting(Runner &runner) -> void
    {
        while (!runner.isDead && runner.running < kSlots && !runner.waiting.empty()) {
            auto next = std::move(runner.waiting.front());
            runner.waiting.pop_front();
            ++runner.running;
            next();
        }
    }

    auto serve(int entry, const std::string &name, TimeMs oneWayDelay, const CallTarget &call)
        -> void
    {
        auto       &runner = runners_[name];
        const auto &arrival = arrivals_[static_cast<std::size_t>(*parseInteger(call.requestId))];
        const auto  serviceUnits = arrival.serviceUnits * (runner.isSlow ? 5 : 1);
        result_.served.push_back(
            {warmUp_ + arrival.at, now_, serviceUnits, arrival.team, runner.zone});
        at(now_ + serviceUnits, [this, entry, name, oneWayDelay, attempt = call.attempt] {
            auto &done = runners_[name];
            --done.running;
            startWaiting(done);
            if (done.isDead) {
                return;
            }
            at(now_ + oneWayDelay, [this, entry, attempt] {
                engines_[static_cast<std::size_t>(entry)]->onAttemptEnd(
                    clock(), attempt, {AttemptEndKind::Answered, {200, "", ""}, ""});
                carryOut(entry);
            });
        });
    }

    auto onSend(int entry, SendPeer &message) -> void
    {
        if (auto *wanted = std::get_if<UnitsWanted>(&message.message)) {
            std::erase_if(wanted->requests, [this](const UnitRequest &request) {
                return !scenario_.sharesSlots && request.resource.starts_with("pool/");
            });
        }
        ++result_.messages;
        result_.bytes += static_cast<std::int64_t>(encodeFrame(message.message).size());
        const auto to = names_.at(message.to);
        const auto from = fmt::format("e{}#1", entry);
        at(now_ + delay(zoneOf(entry), zoneOf(to)),
           [this, to, from, body = std::move(message.message)] {
               engines_[static_cast<std::size_t>(to)]->onPeerMessage(clock(), from, body);
               carryOut(to);
           });
    }

    Scenario                                         scenario_;
    std::span<const Arrival>                         arrivals_;
    TimeMs                                           now_ = 1'000;
    TimeMs                                           warmUp_ = 0; // When arrivals start.
    std::int64_t                                     lastSequence_ = 0;
    std::priority_queue<Event>                       events_;
    std::vector<std::unique_ptr<Engine>>             engines_;
    std::map<std::string, int>                       names_; // Incarnation to index of the entry.
    std::map<std::string, Runner>                    runners_;
    std::vector<std::string>                         firstRack_;
    std::vector<ListedInstance>                      list_;
    std::vector<std::string>                         log_;
    std::map<std::string, std::string>               hashes_; // Team to hash of its key.
    // Index of the entry and id of the attempt to name of the runner, until the call.
    std::map<std::pair<int, AttemptId>, std::string> attempts_;
    Result                                           result_;
};

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Policy world
//-----------------------------------------------------------------------------

auto makeArrivals(const Scenario &scenario) -> std::vector<Arrival>
{
    auto       random = Random(scenario.seed);
    auto       arrivals = std::vector<Arrival>();
    const auto services = static_cast<int>(scenario.runners.size());
    const auto entries = scenario.zones * scenario.entriesPerZone;
    for (auto service = 0; service < services; ++service) {
        const auto slots = scenario.runners[static_cast<std::size_t>(service)] * kSlots;
        const auto perUnit = slots / (scenario.meanServiceMs * kUnitsPerMs) * scenario.burstLoad;
        auto       time = 0.0;
        while (time < static_cast<double>(scenario.runMs * kUnitsPerMs)) {
            const auto burst = static_cast<std::int64_t>(
                time / static_cast<double>(scenario.burstMs * kUnitsPerMs));
            const auto isBurst = burst % services == service;
            const auto rate = perUnit * (isBurst ? 1 : kQuietLoad / 5);
            time += -std::log(uniform(random)) / rate;
            auto arrival = Arrival{};
            arrival.at = static_cast<TimeMs>(time);
            arrival.service = service;
            arrival.serviceUnits = 1
                + static_cast<TimeMs>(-std::log(uniform(random)) * scenario.meanServiceMs
                                      * kUnitsPerMs);
            auto part = uniform(random);
            while (arrival.team + 1 < static_cast<int>(scenario.teams.size())
                   && part > scenario.teams[static_cast<std::size_t>(arrival.team)].demand) {
                part -= scenario.teams[static_cast<std::size_t>(arrival.team)].demand;
                ++arrival.team;
            }
            const auto pick = uniform(random) * (scenario.entrySkew + entries - 1);
            arrival.entry =
                pick < scenario.entrySkew ? 0 : 1 + static_cast<int>(pick - scenario.entrySkew);
            arrivals.push_back(arrival);
        }
    }
    std::ranges::stable_sort(arrivals, {}, &Arrival::at);
    return arrivals;
}

auto runScenario(const Scenario &scenario, std::span<const Arrival> arrivals) -> Result
{
    return PolicyWorld(scenario, arrivals).run();
}

auto runIdeal(const Scenario &scenario, std::span<const Arrival> arrivals) -> Result
{
    auto result = Result{};
    for (std::size_t service = 0; service < scenario.runners.size(); ++service) {
        auto queue = FairQueue();
        for (const auto &team : scenario.teams) {
            queue.setShare(team.name, team.share);
        }
        auto       busyUntil = std::priority_queue<TimeMs, std::vector<TimeMs>, std::greater<>>();
        const auto slots = static_cast<std::size_t>(scenario.runners[service]) * kSlots;
        const auto startWaiting = [&](TimeMs now) {
            queue.popExpired(now);
            while (busyUntil.size() < slots) {
                const auto next = queue.pop([](const WaitingRequest &) { return true; });
                if (!next) {
                    return;
                }
                const auto &arrival = arrivals[static_cast<std::size_t>(*parseInteger(next->id))];
                busyUntil.push(now + arrival.serviceUnits);
                ++result.answered;
                ++result.attempts;
                result.served.push_back({arrival.at, now, arrival.serviceUnits, arrival.team, ""});
            }
        };
        const auto finishUntil = [&](TimeMs now) {
            while (!busyUntil.empty() && busyUntil.top() <= now) {
                const auto freedAt = busyUntil.top();
                busyUntil.pop();
                startWaiting(freedAt);
            }
        };
        for (std::size_t index = 0; index < arrivals.size(); ++index) {
            const auto &arrival = arrivals[index];
            if (arrival.service != static_cast<int>(service)) {
                continue;
            }
            ++result.arrived;
            finishUntil(arrival.at);
            queue.push({std::to_string(index),
                        scenario.teams[static_cast<std::size_t>(arrival.team)].name, "", arrival.at,
                        arrival.at + scenario.deadlineMs * kUnitsPerMs,
                        scenario.meanServiceMs * kUnitsPerMs});
            startWaiting(arrival.at);
        }
        finishUntil(std::numeric_limits<TimeMs>::max());
    }
    return result;
}

} // namespace peridotwalk
