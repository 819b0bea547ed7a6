#include "cli/cli.h"
#include "http/json_call.h"
#include "node/node.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <iostream>

namespace peridotwalk {

namespace {

constexpr int kHttpOk = 200;

// Returns the answer of the node, or an error with the reason that it gave.
auto askNode(const WhereQuery &query, const std::string &job) -> absl::StatusOr<Json>
{
    auto loop = EventLoop();
    auto limits = ConnectionPoolLimits{};
    limits.isProbed = false; // Peers' ports have no health check.
    auto       connections = ConnectionPool(loop, limits);
    auto       answer = HttpResult{};
    const auto body = Json{{"queue", query.queue}, {"tenant", query.tenant}, {"job", job}};
    connections.request(query.node, postJson(std::string(kWherePath), body, query.timeoutMs),
                        [&](HttpResult result) {
                            answer = std::move(result);
                            loop.stop();
                        });
    loop.run();
    if (!answer.isComplete) {
        return callFailure("where", query.node, answer);
    }
    auto json =
        parseBody<Json>("where", query.node, answer.body, [](const Json &read) { return read; });
    if (json.ok() && json->is_object() && answer.status == kHttpOk) {
        return json;
    }
    const auto hasReason =
        json.ok() && json->is_object() && json->contains("error") && json->at("error").is_string();
    return makeError(absl::StatusCode::kUnavailable, "where", query.node,
                     hasReason ? json->at("error").get<std::string>()
                               : fmt::format("status {} and no explanation: is this the peers' "
                                             "address of a scheduling node?",
                                             answer.status));
}

auto orUnknown(const Json &value) -> std::string
{
    return value.is_null() ? "unknown" : fmt::format("{} ms", value.get<TimeMs>());
}

auto printOwner(const Json &json) -> void
{
    const auto &owner = json.at("owner");
    const auto &ages = json.at("ages");
    std::cout << fmt::format(
        "owner      {}, pool {}, token {}\n", owner.at("node").get<std::string>(),
        owner.at("pool").get<std::string>(), owner.at("token").get<std::int64_t>())
              << fmt::format("           {} jobs, {} runs, {} workers, rules {}\n",
                             owner.at("jobs").get<std::int64_t>(),
                             owner.at("runs").get<std::int64_t>(),
                             owner.at("workers").get<std::int64_t>(),
                             owner.at("rules_version").get<std::int64_t>());
    if (const auto block = owner.at("blocked_by").get<std::string>(); !block.empty()) {
        std::cout << "           places nothing now: " << block << '\n';
    }
    std::cout << fmt::format(
        "data       workers' entries {} ms old, last round {} ago, last direction {} ago\n",
        ages.at("workers_ms").get<TimeMs>(), orUnknown(ages.at("round_ms")),
        orUnknown(ages.at("direction_ms")));
}

auto printAdmission(const Json &json) -> void
{
    const auto &admission = json.at("admission");
    if (admission.at("accepted").get<bool>()) {
        std::cout << "admission  accepted\n";
    } else {
        std::cout << fmt::format("admission  refused, retry after {} ms: {}\n",
                                 admission.at("retry_after_ms").get<TimeMs>(),
                                 admission.at("reason").get<std::string>());
    }
    std::cout << fmt::format("           estimated chain {} ms, objective {} ms, expected {}\n",
                             admission.at("chain_ms").get<TimeMs>(),
                             admission.at("objective_ms").get<TimeMs>(),
                             orUnknown(admission.at("expected_ms")))
              << fmt::format("           work ahead {} core-ms, usable workers' cpu {}\n",
                             admission.at("work_ahead_core_ms").get<std::int64_t>(),
                             admission.at("usable_cpu").get<std::int64_t>());
    const auto &order = json.at("order");
    std::cout << fmt::format(
        "order      {}, priority {}: {} steps with {} tasks ({} core-ms) "
        "ahead, {} steps behind\n",
        order.at("timeliness").get<std::string>(), order.at("priority").get<std::int64_t>(),
        order.at("steps_ahead").get<std::int64_t>(), order.at("tasks_ahead").get<std::int64_t>(),
        order.at("work_ahead_core_ms").get<std::int64_t>(),
        order.at("steps_behind").get<std::int64_t>());
}

auto printPlace(const Json &step) -> void
{
    const auto &place = step.at("place");
    const auto  rack = place.at("rack").get<std::string>();
    if (rack.empty()) {
        return;
    }
    std::cout << fmt::format("  data in rack {}: ", rack);
    if (place.at("waits").get<bool>()) {
        std::cout << fmt::format("waits for a worker there, until {}; near {}, far {}\n",
                                 orUnknown(place.at("until_ms")), orUnknown(place.at("near_ms")),
                                 orUnknown(place.at("far_ms")));
    } else if (step.at("candidates").empty()) {
        std::cout << "there is no candidate\n";
    } else {
        std::cout << (place.at("near").get<bool>() ? "the first candidate is there\n"
                                                   : "the first candidate is elsewhere\n");
    }
}

auto printStep(const Json &step) -> void
{
    const auto &need = step.at("need");
    std::cout << fmt::format(
        "\nstep {}: {} of {} tasks would be placed now (cpu {} memory {} "
        "accelerators {} each)\n",
        step.at("step").get<std::int64_t>(), step.at("placeable").get<std::int64_t>(),
        step.at("tasks").get<std::int64_t>(), need.at("cpu").get<std::int64_t>(),
        need.at("memory_mb").get<std::int64_t>(), need.at("accelerators").get<std::int64_t>());
    if (const auto cause = step.at("waits_for").get<std::string>(); !cause.empty()) {
        std::cout << "  the others wait for: " << cause << '\n';
    }
    printPlace(step);
    const auto &candidates = step.at("candidates");
    if (!candidates.empty()) {
        std::cout << fmt::format("  {:<20}{:<12}{:<12}{:>8}{:>7}{:>10}{:>10}{:>10}\n", "CANDIDATE",
                                 "ZONE", "RACK", "SCORE", "TASKS", "FREE CPU", "FREE MEM",
                                 "AGE MS");
    }
    for (const auto &candidate : candidates) {
        std::cout << fmt::format(
            "  {:<20}{:<12}{:<12}{:>8.3f}{:>7}{:>10}{:>10}{:>10}\n",
            candidate.at("worker").get<std::string>(), candidate.at("zone").get<std::string>(),
            candidate.at("rack").get<std::string>(), candidate.at("score").get<double>(),
            candidate.at("tasks").get<std::int64_t>(),
            candidate.at("free").at("cpu").get<std::int64_t>(),
            candidate.at("free").at("memory_mb").get<std::int64_t>(),
            candidate.at("answered_age_ms").get<TimeMs>());
    }
    const auto total = step.at("candidate_count").get<std::int64_t>();
    if (total > std::ssize(candidates)) {
        std::cout << fmt::format("  and {} more candidates\n", total - std::ssize(candidates));
    }
    for (const auto &excluded : step.at("excluded")) {
        std::cout << fmt::format(
            "  excluded {:>5}  {}: {}\n", excluded.at("workers").get<std::int64_t>(),
            excluded.at("reason").get<std::string>(),
            fmt::join(excluded.at("examples").get<std::vector<std::string>>(), " "));
    }
}

} // namespace

auto printWhere(const WhereQuery &query) -> int
{
    const auto job = readFile(query.file);
    if (!job.ok()) {
        std::cerr << job.status().message() << '\n';
        return kExitNoEntry;
    }
    const auto json = askNode(query, *job);
    if (!json.ok()) {
        std::cerr << json.status().message() << '\n';
        return kExitNoEntry;
    }
    if (query.isJson) {
        std::cout << json->dump(2) << '\n';
        return kExitDone;
    }
    try {
        printOwner(*json);
        printAdmission(*json);
        for (const auto &step : json->at("steps")) {
            printStep(step);
        }
        if (const auto later = json->at("later_steps").get<std::int64_t>(); later > 0) {
            std::cout << fmt::format("\n{} later steps\n", later);
        }
    } catch (const Json::exception &error) {
        std::cerr << "the answer of " << query.node << " can't be read: " << error.what() << '\n';
        return kExitNoEntry;
    }
    return kExitDone;
}

} // namespace peridotwalk
