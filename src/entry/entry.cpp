#include "entry/entry_internal.h"

#include <event2/event.h>
#include <fmt/format.h>
#include <glog/logging.h>

#include <csignal>
#include <random>

namespace peridotwalk {

namespace {

constexpr int    kExitStopped = 0;
constexpr int    kExitNoAddress = 1;
constexpr int    kExitEvicted = 3;
constexpr TimeMs kStopCheckMs = 20;
constexpr TimeMs kLeaveWaitMs = 3'000; // Maximum wait for this entry's leave record in the log.

auto makeIncarnation(const std::string &name) -> Incarnation
{
    auto       device = std::random_device();
    const auto high = static_cast<std::uint64_t>(device()) << 32U;
    return fmt::format("{}#{:016x}", name, high | device());
}

// Creates the tasks, connects their signals, and stops them in order.
class Entry
{
public:
    explicit Entry(EntrySettings settings)
        : settings_(std::move(settings)),
          decisions_(loop_, settings_, settings_.engine.incarnation),
          platform_(loop_, settings_, decisions_),
          peers_(loop_, settings_, settings_.engine.incarnation, decisions_),
          targets_(loop_, decisions_), callers_(loop_, settings_, decisions_),
          operators_(loop_, settings_, decisions_, platform_)
    {
        connectSignals();
    }

    auto run() -> int
    {
        for (const auto &status : {callers_.listen(), operators_.listen(), peers_.listen()}) {
            if (!status.ok()) {
                LOG(ERROR) << status;
                return kExitNoAddress;
            }
        }
        const auto terminate = watchSignal(SIGTERM);
        const auto interrupt = watchSignal(SIGINT);
        LOG(INFO) << "entry " << settings_.engine.incarnation << " of zone " << settings_.zone
                  << " listens for callers at " << settings_.callersAddress;
        loop_.run();
        return exitCode_;
    }

private:
    using Signal = std::unique_ptr<event, decltype(&event_free)>;

    auto connectSignals() -> void
    {
        decisions_.connectTarget.connect([this](const auto &effect) { targets_.connect(effect); });
        decisions_.callTarget.connect([this](const auto &effect) { targets_.call(effect); });
        decisions_.dropAttempt.connect([this](const auto &effect) { targets_.drop(effect); });
        decisions_.replyCaller.connect([this](const auto &effect) { callers_.reply(effect); });
        decisions_.sendPeer.connect([this](const auto &effect) { peers_.send(effect); });
        decisions_.appendRecord.connect([this](const auto &effect) { platform_.append(effect); });
        decisions_.setPeers.connect([this](const auto &effect) { peers_.setPeers(effect); });
        decisions_.retire.connect([this](const auto &effect) {
            LOG(ERROR) << "retiring: " << effect.reason;
            exitCode_ = kExitEvicted;
            beginStop();
        });
    }

    auto watchSignal(int number) -> Signal
    {
        auto *signal = evsignal_new(loop_.base(), number, onSignal, this);
        event_add(signal, nullptr);
        return {signal, event_free};
    }

    static auto onSignal(evutil_socket_t number, short /*events*/, void *self) -> void
    {
        LOG(INFO) << "signal " << number << ": stopping as planned";
        static_cast<Entry *>(self)->beginStop();
    }

    auto beginStop() -> void
    {
        if (stopTimer_ != nullptr) {
            return;
        }
        stopAt_ = monotonicMs() + settings_.shutdownMs;
        callers_.stopAccepting();
        decisions_.handle([](Engine &engine, Now now) { engine.beginShutdown(now); });
        stopTimer_ = std::make_unique<Timer>(loop_, kStopCheckMs, [this] { checkStop(); });
    }

    // Stops the loop once all callers are answered and the log holds the record that this entry
    // left. Waits kLeaveWaitMs for the record, and shutdownMs for both.
    auto checkStop() -> void
    {
        const auto  now = monotonicMs();
        const auto &engine = decisions_.engine();
        const auto  isDrained = engine.isDrained() && callers_.open() == 0;
        if (isDrained && drainedAt_ == 0) {
            drainedAt_ = now;
        }
        const auto hasLeft = engine.hasLeft() || !engine.status(readClocks()).isMember;
        const auto isOver = isDrained && (hasLeft || now - drainedAt_ > kLeaveWaitMs);
        if (isOver || now > stopAt_) {
            LOG(INFO) << "stopped, drained=" << isDrained << " left=" << hasLeft;
            loop_.stop();
        }
    }

    EntrySettings          settings_;
    EventLoop              loop_;
    DecisionTask           decisions_;
    PlatformTask           platform_;
    PeerTask               peers_;
    TargetTask             targets_;
    CallerTask             callers_;
    OperatorTask           operators_;
    std::unique_ptr<Timer> stopTimer_;     // Null: no stop has begun.
    TimeMs                 stopAt_ = 0;    // Deadline of the planned stop.
    TimeMs                 drainedAt_ = 0; // When all callers had been answered. 0: not yet.
    int                    exitCode_ = kExitStopped;
};

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Entry
//-----------------------------------------------------------------------------

auto runEntry(const EntrySettings &settings) -> int
{
    auto complete = settings;
    complete.engine.incarnation = makeIncarnation(settings.name);
    auto entry = Entry(std::move(complete));
    return entry.run();
}

} // namespace peridotwalk
