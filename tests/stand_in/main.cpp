// Runs one stand-in as a process: platform, runner, worker or callers. `ports` prints free ports.

#include "stand_in.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

namespace {

using namespace peridotwalk;

template <typename StandIn>
auto serve(EventLoop &loop, StandIn &standIn, const std::string &address) -> int
{
    const auto status = standIn.listen(address);
    if (!status.ok()) {
        std::cerr << status << '\n';
        return 1;
    }
    loop.run();
    return 0;
}

auto printPorts(int count) -> int
{
    auto loop = EventLoop();
    auto servers = std::vector<std::unique_ptr<HttpServer>>();
    for (auto index = 0; index < count; ++index) {
        servers.push_back(std::make_unique<HttpServer>(loop, HttpServerLimits{}));
        if (!servers.back()->listen("127.0.0.1:0").ok()) {
            return 1;
        }
        std::cout << servers.back()->port() << '\n';
    }
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    auto address = std::string();
    auto name = std::string();
    auto count = 1;
    auto plan = CallerPlan{};
    auto app = CLI::App("Stand-ins for tests and the demo");
    app.require_subcommand(1);
    auto *platform = app.add_subcommand("platform");
    platform->add_option("--listen", address)->required();
    auto *runner = app.add_subcommand("runner");
    runner->add_option("--listen", address)->required();
    runner->add_option("--name", name)->required();
    auto *worker = app.add_subcommand("worker");
    worker->add_option("--listen", address)->required();
    worker->add_option("--name", name)->required();
    auto *ports = app.add_subcommand("ports");
    ports->add_option("count", count)->required();
    auto *callers = app.add_subcommand("callers");
    callers->add_option("--entry", plan.entries)->required();
    callers->add_option("--zone", plan.zones)->required();
    callers->add_option("--key", plan.keys)->required();
    callers->add_option("--quick", plan.repeatableService)->required();
    callers->add_option("--order", plan.orderService)->required();
    callers->add_option("--per-second", plan.perSecond);
    callers->add_option("--duration-ms", plan.durationMs);
    callers->add_option("--service-ms", plan.serviceMs);
    CLI11_PARSE(app, argc, argv);
    auto loop = EventLoop();
    if (*platform) {
        auto standIn = PlatformStandIn(loop);
        return serve(loop, standIn, address);
    }
    if (*runner) {
        auto standIn = RunnerStandIn(loop, name);
        return serve(loop, standIn, address);
    }
    if (*worker) {
        auto standIn = WorkerStandIn(loop, name);
        return serve(loop, standIn, address);
    }
    return *ports ? printPorts(count) : runCallers(plan);
}
