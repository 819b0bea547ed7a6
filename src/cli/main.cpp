// The program: an entry, a scheduling node, or one of the operators' commands.

#include "cli/cli.h"
#include "entry/entry.h"
#include "node/node.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <glog/logging.h>

#include <csignal>
#include <iostream>

namespace {

using namespace peridotwalk;

// The parsed command line.
struct Arguments {
    std::string              settings;                     // Path of the settings file.
    std::vector<std::string> entries = {"127.0.0.1:8200"}; // Operators' addresses.
    std::string              file;                         // Path of a rules or key file.
    std::string              name;           // First positional argument: what to change or query.
    std::string              poolOrTeam;     // Second positional argument: a pool or a team.
    bool                     isJson = false; // --json, or --end of the command `drain`.
    TimeMs                   timeoutMs = 12'000; // --timeout-ms
    CommandOptions           options;
    WhereQuery               where;
    int                      exitCode = kExitDone;
};

// Runs an entry. Prints every error of its settings.
auto runEntryProcess(const std::string &file) -> int
{
    const auto text = readFile(file);
    if (!text.ok() || checkSettings(file) != kExitDone) {
        std::cerr << (text.ok() ? "the settings are invalid" : std::string(text.status().message()))
                  << '\n';
        return kExitBadInput;
    }
    FLAGS_logtostderr = true;
    google::InitGoogleLogging("peridotwalk");
    std::signal(SIGPIPE, SIG_IGN);
    return runEntry(parseEntrySettings(*text).settings);
}

// Runs a scheduling node. Prints every error of its settings.
auto runNodeProcess(const std::string &file) -> int
{
    const auto text = readFile(file);
    const auto parsed = text.ok() ? parseNodeSettings(*text) : ParsedNodeSettings{};
    if (!text.ok()) {
        std::cerr << text.status().message() << '\n';
    }
    for (const auto &error : parsed.errors) {
        std::cerr << file << ": " << error.path << ": " << error.reason << '\n';
    }
    if (!text.ok() || !parsed.errors.empty()) {
        return kExitBadInput;
    }
    return runNode(parsed.settings, file);
}

// Adds the options that all commands to entries have.
auto addClientOptions(CLI::App *app, Arguments &arguments) -> void
{
    app->add_option("--entry", arguments.entries,
                    "operators' addresses of entries, tried in order");
    app->add_option("--timeout-ms", arguments.timeoutMs,
                    "maximum wait for answers and for all members, ms")
        ->check(CLI::Range(1, 3'600'000));
}

auto addCommandOptions(CLI::App *app, Arguments &arguments) -> void
{
    addClientOptions(app, arguments);
    app->add_option("--author", arguments.options.author, "your login")->default_val("operator");
    app->add_option("--asker", arguments.options.requester,
                    "who requested the change, for the comment of the rule")
        ->required();
}

// Sets the callback of a command to entries: calls `run` with a client.
template <typename Run>
auto setClientCallback(CLI::App *app, Arguments &arguments, Run run) -> void
{
    app->callback([&arguments, run] {
        arguments.options.waitMs = arguments.timeoutMs;
        auto client =
            OperatorClient(arguments.entries, std::min<TimeMs>(arguments.timeoutMs, 5'000));
        arguments.exitCode = run(client);
    });
}

auto addRules(CLI::App &app, Arguments &arguments) -> void
{
    auto *rules = app.add_subcommand("rules", "check, compare and publish the rules file");
    rules->require_subcommand(1);
    auto *check = rules->add_subcommand("check", "print every error of a rules file");
    check->add_option("file", arguments.file)->required();
    check->callback([&] { arguments.exitCode = checkRules(arguments.file); });
    auto *diff = rules->add_subcommand("diff", "show what publishing would change");
    diff->add_option("file", arguments.file)->required();
    diff->add_flag("--json", arguments.isJson);
    addClientOptions(diff, arguments);
    setClientCallback(diff, arguments, [&](OperatorClient &client) {
        return diffRulesFile(client, arguments.file, arguments.isJson);
    });
    auto *publish = rules->add_subcommand("publish", "replace the active rules by a rules file");
    publish->add_option("file", arguments.file)->required();
    publish->add_option("--author", arguments.options.author, "your login")
        ->default_val("operator");
    addClientOptions(publish, arguments);
    setClientCallback(publish, arguments, [&](OperatorClient &client) {
        return publishRules(client, arguments.file, arguments.options);
    });
}

auto addZone(CLI::App &app, Arguments &arguments) -> void
{
    auto *zone = app.add_subcommand("zone", "take a zone out of service or put it back");
    zone->require_subcommand(1);
    for (const auto isOut : {true, false}) {
        auto *change = zone->add_subcommand(isOut ? "out" : "in");
        change->add_option("zone", arguments.name)->required();
        addCommandOptions(change, arguments);
        setClientCallback(change, arguments, [&arguments, isOut](OperatorClient &client) {
            return setZoneOut(client, arguments.name, isOut, arguments.options);
        });
    }
}

auto addKey(CLI::App &app, Arguments &arguments) -> void
{
    auto *key = app.add_subcommand("key", "grant and withdraw keys");
    key->require_subcommand(1);
    auto *grant = key->add_subcommand("grant", "let a key authenticate a team's requests");
    grant->add_option("name", arguments.name)->required();
    grant->add_option("team", arguments.poolOrTeam)->required();
    grant->add_option("--key-file", arguments.file, "file that holds the key, - for standard input")
        ->required();
    addCommandOptions(grant, arguments);
    setClientCallback(grant, arguments, [&](OperatorClient &client) {
        return grantKey(client, arguments.name, arguments.poolOrTeam, arguments.file,
                        arguments.options);
    });
    auto *withdraw = key->add_subcommand("withdraw", "stop accepting a key");
    withdraw->add_option("name", arguments.name)->required();
    addCommandOptions(withdraw, arguments);
    setClientCallback(withdraw, arguments, [&](OperatorClient &client) {
        return withdrawKey(client, arguments.name, arguments.options);
    });
}

auto addInstances(CLI::App &app, Arguments &arguments) -> void
{
    auto *move = app.add_subcommand("move", "drain an instance and put it into another pool");
    move->add_option("instance", arguments.name)->required();
    move->add_option("pool", arguments.poolOrTeam)->required();
    addCommandOptions(move, arguments);
    setClientCallback(move, arguments, [&](OperatorClient &client) {
        return moveInstance(client, arguments.name, arguments.poolOrTeam, arguments.options);
    });
    auto *drain = app.add_subcommand("drain", "start no new work on an instance");
    drain->add_option("instance", arguments.name)->required();
    drain->add_flag("--end", arguments.isJson, "end the drain");
    addCommandOptions(drain, arguments);
    setClientCallback(drain, arguments, [&](OperatorClient &client) {
        return setDrain(client, arguments.name, !arguments.isJson, arguments.options);
    });
}

auto addQueries(CLI::App &app, Arguments &arguments) -> void
{
    auto *check = app.add_subcommand("check-settings", "print every error of a settings file");
    check->add_option("file", arguments.file)->required();
    check->callback([&] { arguments.exitCode = checkSettings(arguments.file); });
    auto *plan = app.add_subcommand("plan", "show which instances maintenance would drain next");
    plan->add_flag("--json", arguments.isJson);
    addClientOptions(plan, arguments);
    setClientCallback(plan, arguments,
                      [&](OperatorClient &client) { return printPlan(client, arguments.isJson); });
    auto *status = app.add_subcommand("status", "show an entry's members, teams and targets");
    status->add_flag("--json", arguments.isJson);
    addClientOptions(status, arguments);
    setClientCallback(status, arguments, [&](OperatorClient &client) {
        return printStatus(client, arguments.isJson);
    });
    auto *explain = app.add_subcommand("explain", "show the routing decisions of a request");
    explain->add_option("request", arguments.name)->required();
    explain->add_flag("--json", arguments.isJson);
    addClientOptions(explain, arguments);
    setClientCallback(explain, arguments, [&](OperatorClient &client) {
        return printExplain(client, arguments.name, arguments.isJson);
    });
}

// Asks a scheduling node rather than an entry.
auto addWhere(CLI::App &app, Arguments &arguments) -> void
{
    auto *where =
        app.add_subcommand("where", "show where a job would be placed now, without submitting it");
    where->add_option("file", arguments.where.file, "body of a submission, - for standard input")
        ->required();
    where->add_option("--queue", arguments.where.queue, "queue that it would be submitted to")
        ->required();
    where->add_option("--tenant", arguments.where.tenant,
                      "tenant that would submit it; none for a queue that is open to all");
    where->add_option("--node", arguments.where.node, "peers' address of any scheduling node")
        ->required();
    where->add_option("--timeout-ms", arguments.where.timeoutMs, "maximum wait for the answer, ms")
        ->check(CLI::Range(1, 3'600'000));
    where->add_flag("--json", arguments.where.isJson);
    where->callback([&] { arguments.exitCode = printWhere(arguments.where); });
}

} // namespace

auto main(int argc, char **argv) -> int
{
    auto arguments = Arguments{};
    auto app = CLI::App("Fleet capacity and maintenance manager");
    app.require_subcommand(1);
    auto *entry = app.add_subcommand("entry", "run an entry");
    entry->add_option("--settings", arguments.settings, "settings file (JSON)")->required();
    entry->callback([&] { arguments.exitCode = runEntryProcess(arguments.settings); });
    auto *node = app.add_subcommand("node", "run a scheduling node");
    node->add_option("--settings", arguments.settings, "settings file (JSON)")->required();
    node->callback([&] { arguments.exitCode = runNodeProcess(arguments.settings); });
    addRules(app, arguments);
    addZone(app, arguments);
    addKey(app, arguments);
    addInstances(app, arguments);
    addQueries(app, arguments);
    addWhere(app, arguments);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        const auto code = app.exit(error);
        return code == 0 ? kExitDone : kExitBadInput;
    }
    return arguments.exitCode;
}
