#include "entry/entry_internal.h"

#include <glog/logging.h>

namespace peridotwalk {

namespace {

auto withIdentity(EngineSettings settings, Incarnation incarnation) -> EngineSettings
{
    settings.seed = stableHash(incarnation);
    settings.incarnation = std::move(incarnation);
    return settings;
}

} // namespace

auto readClocks() -> Now
{
    return {monotonicMs(), wallMs()};
}

//-----------------------------------------------------------------------------
// [SECTION] Decision task
//-----------------------------------------------------------------------------

DecisionTask::DecisionTask(EventLoop &loop, const EntrySettings &settings, Incarnation incarnation)
    : engine_(withIdentity(settings.engine, std::move(incarnation))),
      maxRecentDecisions_(static_cast<std::size_t>(settings.explainEntries)),
      registry_(std::make_shared<prometheus::Registry>()),
      decisions_(prometheus::BuildCounter()
                     .Name("peridotwalk_decisions_total")
                     .Help("Routing and placement decisions by step")
                     .Register(*registry_)),
      replies_(prometheus::BuildCounter()
                   .Name("peridotwalk_replies_total")
                   .Help("Replies to callers by outcome")
                   .Register(*registry_)),
      tick_(std::make_unique<Timer>(loop, settings.tickMs, [this] {
          handle([](Engine &engine, Now now) { engine.onTick(now); });
      }))
{
}

auto DecisionTask::handle(const std::function<void(Engine &, Now)> &event) -> void
{
    event(engine_, readClocks());
    for (const auto &effect : engine_.takeEffects()) {
        carryOut(effect);
    }
}

auto DecisionTask::carryOut(const Effect &effect) -> void
{
    std::visit(
        [this](const auto &body) {
            using Body = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<Body, ConnectTarget>) {
                connectTarget.emit(body);
            } else if constexpr (std::is_same_v<Body, CallTarget>) {
                callTarget.emit(body);
            } else if constexpr (std::is_same_v<Body, DropAttempt>) {
                dropAttempt.emit(body);
            } else if constexpr (std::is_same_v<Body, ReplyCaller>) {
                replies_.Add({{"outcome", std::string(outcomeName(body.reply.outcome))}})
                    .Increment();
                replyCaller.emit(body);
            } else if constexpr (std::is_same_v<Body, SendPeer>) {
                sendPeer.emit(body);
            } else if constexpr (std::is_same_v<Body, AppendRecord>) {
                appendRecord.emit(body);
            } else if constexpr (std::is_same_v<Body, SetPeers>) {
                setPeers.emit(body);
            } else if constexpr (std::is_same_v<Body, Retire>) {
                retire.emit(body);
            } else {
                recordDecision(body);
            }
        },
        effect);
}

auto DecisionTask::recordDecision(const Decision &decision) -> void
{
    LOG(INFO) << "decision request=" << decision.requestId << " team=" << decision.team
              << " service=" << decision.service << " step=" << decision.step
              << " chosen=" << decision.chosen << " considered=" << decision.considered
              << " reason=\"" << decision.reason << '"';
    decisions_.Add({{"step", decision.step}}).Increment();
    recentDecisions_.emplace_back(wallMs(), decision);
    if (recentDecisions_.size() > maxRecentDecisions_) {
        recentDecisions_.pop_front();
    }
}

auto DecisionTask::explain(std::string_view requestId) const
    -> std::vector<std::pair<TimeMs, Decision>>
{
    auto found = std::vector<std::pair<TimeMs, Decision>>();
    for (const auto &entry : recentDecisions_) {
        if (entry.second.requestId == requestId) {
            found.push_back(entry);
        }
    }
    return found;
}

} // namespace peridotwalk
