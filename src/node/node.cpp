#include "node/node_internal.h"

#include <event2/event.h>
#include <fmt/format.h>

#include <csignal>
#include <fstream>
#include <random>
#include <sstream>

namespace peridotwalk {

namespace {

constexpr int         kExitStopped = 0;
constexpr int         kExitNoAddress = 1;
constexpr TimeMs      kStopCheckMs = 50;
constexpr TimeMs      kLogFlushMs = 200;
constexpr TimeMs      kPeerIdleMs = 30'000;
constexpr TimeMs      kWorkerIdleMs = 10'000;
// A hold, a stop and two starts at once. Owners that lose power leave theirs behind at a worker.
constexpr std::size_t kWorkerConnections = 4;

using Signal = std::unique_ptr<event, decltype(&event_free)>;

// Each incarnation has a name of its own, so that it doesn't inherit partitions of the previous one.
auto makeMember(const NodeSettings &settings) -> std::string
{
    auto       device = std::random_device();
    const auto isReserve = settings.processorShare < settings.ownerMinShare;
    return fmt::format("{}@{}#{:08x}{}", settings.name, settings.peersAddress, device(),
                       isReserve ? kReserveSuffix : "");
}

auto poolLimits() -> ConnectionPoolLimits
{
    auto limits = ConnectionPoolLimits{};
    limits.isProbed = false; // Each request to a worker is billed, and all calls can be repeated.
    limits.idleMs = kPeerIdleMs;
    return limits;
}

auto workerLimits() -> ConnectionPoolLimits
{
    auto limits = poolLimits();
    limits.isShared = true;
    limits.maxPerAddress = kWorkerConnections;
    limits.idleMs = kWorkerIdleMs;
    return limits;
}

class Node
{
public:
    Node(NodeSettings settings, std::string file)
        : settings_(std::move(settings)), file_(std::move(file)), connections_(loop_, poolLimits()),
          workerConnections_(loop_, workerLimits()),
          store_(loop_, connections_, settings_.platform.store, makeStoreProbe()),
          journal_(makeJournalStore(store_, settings_.platform)),
          group_(makeOwnershipGroup(store_, settings_.platform)),
          directoryService_(makeDirectory(store_, settings_.platform)),
          workers_(makeWorkerService(workerConnections_, settings_.platform)),
          machines_(makeMachineService(connections_, settings_.platform)),
          directory_(loop_, *directoryService_, settings_),
          ownership_(loop_, *group_, settings_, makeMember(settings_)),
          meteredJournal_(meterJournal(*journal_, metrics_)),
          meteredWorkers_(meterWorkers(*workers_, metrics_)),
          pools_(loop_, {*meteredJournal_, *meteredWorkers_, &metrics_}, settings_, directory_,
                 ownership_),
          router_(loop_, connections_, settings_, pools_, ownership_),
          coordinator_(loop_, {*meteredJournal_, *machines_, *directoryService_, &metrics_},
                       settings_, directory_, ownership_),
          reporter_(loop_, connections_, settings_, pools_, coordinator_, ownership_),
          explanations_(loop_, connections_, settings_, directory_, pools_, ownership_),
          peers_(loop_, settings_, connections_, pools_, coordinator_, explanations_),
          callers_(loop_, settings_, metrics_, directory_, ownership_, router_),
          metricsServer_(loop_, metrics_, directory_, ownership_, pools_, workerConnections_)
    {
        store_.setPeers([this] { return ownership_.peers(); });
        pools_.setCallPool([this](const PoolCall &call, TimeMs deadline, PoolAnswerSlot slot) {
            router_.route(call, deadline, std::move(slot));
        });
    }

    auto run() -> int
    {
        for (const auto &status : {peers_.listen(), callers_.listen(),
                                   metricsServer_.listen(settings_.metricsAddress)}) {
            if (!status.ok()) {
                logEvent(LogLevel::Error, "node.failed", {{"error", status.ToString()}});
                flushLog();
                return kExitNoAddress;
            }
        }
        logEvent(LogLevel::Info, "node.started",
                 {{"member", ownership_.member()}, {"zone", settings_.zone}});
        const auto flushTimer = Timer(loop_, kLogFlushMs, [] { flushLog(); });
        const auto terminate = watchSignal(SIGTERM, onStop);
        const auto interrupt = watchSignal(SIGINT, onStop);
        const auto hangUp = watchSignal(SIGHUP, onHangUp);
        directory_.start();
        ownership_.start();
        loop_.run();
        logEvent(LogLevel::Info, "node.stopped", {{"open", callers_.open()}});
        flushLog();
        return kExitStopped;
    }

private:
    auto watchSignal(int number, event_callback_fn callback) -> Signal
    {
        auto *signal = evsignal_new(loop_.base(), number, callback, this);
        event_add(signal, nullptr);
        return {signal, event_free};
    }

    static auto onStop(evutil_socket_t /*number*/, short /*events*/, void *self) -> void
    {
        static_cast<Node *>(self)->beginStop();
    }

    static auto onHangUp(evutil_socket_t /*number*/, short /*events*/, void *self) -> void
    {
        static_cast<Node *>(self)->reloadSettings();
    }

    // Tasks read their settings through a reference, so new values are effective at the next use.
    auto reloadSettings() -> void
    {
        auto input = std::ifstream(file_);
        auto text = std::stringstream();
        text << input.rdbuf();
        const auto parsed = parseNodeSettings(text.str());
        for (const auto &error : parsed.errors) {
            logEvent(LogLevel::Error, "settings.rejected",
                     {{"file", file_}, {"path", error.path}, {"reason", error.reason}});
        }
        if (!input.is_open() || !parsed.errors.empty()) {
            return;
        }
        settings_ = parsed.settings;
        logEvent(LogLevel::Info, "settings.reload", {{"file", file_}});
    }

    // Hands the pools over once their appends are complete. Goes on to route calls to the new owners until
    // callers have moved to other nodes.
    auto beginStop() -> void
    {
        if (stopTimer_ != nullptr) {
            return;
        }
        logEvent(LogLevel::Info, "node.stopping", {{"open", callers_.open()}});
        stopAt_ = bootMs() + settings_.stopLingerMs;
        callers_.beginStop();
        ownership_.beginLeave();
        pools_.startHandover(true, [this] { ownership_.leave(); });
        stopTimer_ = std::make_unique<Timer>(loop_, kStopCheckMs, [this] { checkStop(); });
    }

    auto checkStop() -> void
    {
        if (bootMs() > stopAt_ && callers_.open() == 0) {
            loop_.stop();
        }
    }

    NodeSettings                    settings_;
    std::string                     file_;
    EventLoop                       loop_;
    ConnectionPool                  connections_;
    ConnectionPool                  workerConnections_;
    DetourClient                    store_;
    NodeMetrics                     metrics_;
    std::unique_ptr<JournalStore>   journal_;
    std::unique_ptr<OwnershipGroup> group_;
    std::unique_ptr<Directory>      directoryService_;
    std::unique_ptr<WorkerService>  workers_;
    std::unique_ptr<MachineService> machines_;
    DirectoryTask                   directory_;
    OwnershipTask                   ownership_;
    std::unique_ptr<JournalStore>   meteredJournal_;
    std::unique_ptr<WorkerService>  meteredWorkers_;
    PoolsTask                       pools_;
    RouterTask                      router_;
    CoordinatorTask                 coordinator_;
    ReporterTask                    reporter_;
    ExplanationTask                 explanations_;
    PeerServerTask                  peers_;
    JobCallerTask                   callers_;
    MetricsTask                     metricsServer_;
    std::unique_ptr<Timer>          stopTimer_;
    TimeMs                          stopAt_ = 0;
};

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Node
//-----------------------------------------------------------------------------

auto runNode(const NodeSettings &settings, const std::string &file) -> int
{
    configureLog({settings.name, 1, settings.logLevel});
    std::signal(SIGPIPE, SIG_IGN);
    auto node = Node(settings, file);
    return node.run();
}

} // namespace peridotwalk
