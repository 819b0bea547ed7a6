#include "node/node.h"

namespace peridotwalk {

namespace {

using Json = nlohmann::json;
using Errors = std::vector<SettingsError>;

constexpr TimeMs       kMaxMs = 86'400'000;
constexpr std::int64_t kMaxPartitions = 4'096;
constexpr std::int64_t kMinRecordBytes =
    65'536; // A progress record may have that many without checkpoints.
constexpr std::int64_t kMaxStoreBytes = 1'073'741'824;
constexpr std::int64_t kMaxCores = 1'024;
constexpr double       kMaxCallsPerS = 100'000;
constexpr std::int64_t kMaxRecordingRuns = 100'000;
constexpr double       kMaxFarFactor = 1'000;
constexpr std::int64_t kContendedRecordingRuns = 2'048;

auto readListen(ObjectReader &root, NodeSettings &settings, Errors &errors) -> void
{
    auto reader = ObjectReader(root.child("listen", true), root.pathOf("listen"), errors);
    reader.address("callers", settings.callersAddress);
    reader.address("ready", settings.readyAddress);
    reader.address("peers", settings.peersAddress);
    reader.optionalAddress("metrics", settings.metricsAddress);
}

auto readStore(ObjectReader &root, NodeSettings &settings, Errors &errors) -> void
{
    auto reader = ObjectReader(root.child("store", true), root.pathOf("store"), errors);
    reader.address("address", settings.platform.store);
    reader.integer("timeout_ms", settings.platform.storeTimeoutMs, 10, kMaxMs);
    reader.integer("partitions", settings.ownership.partitions, 1, kMaxPartitions);
    reader.integer("ownership_ttl_ms", settings.ownership.ttlMs, 100, kMaxMs);
    reader.integer("renew_ms", settings.ownership.renewMs, 10, kMaxMs);
    reader.integer("record_bytes", settings.pool.maxRecordBytes, kMinRecordBytes, kMaxStoreBytes);
    reader.integer("append_bytes", settings.pool.maxAppendBytes, kMinRecordBytes, kMaxStoreBytes);
    if (settings.pool.maxAppendBytes < settings.pool.maxRecordBytes) {
        reader.fail("append_bytes", "must not be less than record_bytes");
    }
    reader.integer("workers_poll_ms", settings.workersPollMs, 10, kMaxMs);
    if (settings.ownership.renewMs * 2 + settings.ownership.marginMs > settings.ownership.ttlMs) {
        reader.fail("renew_ms", "must leave time for two renewals in ownership_ttl_ms");
    }
}

auto readServices(ObjectReader &root, NodeSettings &settings, Errors &errors) -> void
{
    auto machines = ObjectReader(root.child("machines", false), root.pathOf("machines"), errors);
    machines.optionalAddress("address", settings.platform.machines);
    machines.integer("timeout_ms", settings.platform.machineTimeoutMs, 10, kMaxMs);
    machines.integer("holder_gap_ms", settings.planner.takeoverDelayMs, 0, kMaxMs);
    machines.number("calls_per_s", settings.planner.callsPerS, 0, kMaxCallsPerS);
    machines.flag("early_demand", settings.planner.isDemandEarly);
    auto advice = ObjectReader(root.child("advice", false), root.pathOf("advice"), errors);
    advice.optionalAddress("address", settings.platform.advice);
}

auto readWorkers(ObjectReader &root, NodeSettings &settings, Errors &errors) -> void
{
    auto  reader = ObjectReader(root.child("workers", false), root.pathOf("workers"), errors);
    auto &pool = settings.pool;
    reader.integer("timeout_ms", settings.platform.workerTimeoutMs, 10, kMaxMs);
    reader.integer("lease_ms", pool.leaseMs, 100, kMaxMs);
    reader.integer("max_lease_ms", pool.maxLeaseMs, 100, kMaxMs);
    reader.integer("hold_wait_ms", pool.holdWaitMs, 0, 2'000);
    pool.leaseMs = std::min(pool.leaseMs, pool.maxLeaseMs);
}

auto readCallers(ObjectReader &root, NodeSettings &settings, Errors &errors) -> void
{
    auto reader = ObjectReader(root.child("callers", false), root.pathOf("callers"), errors);
    reader.integer("budget_ms", settings.callBudgetMs, 10, kMaxMs);
    reader.integer("max_header_bytes", settings.maxHeaderBytes, 256, 1'048'576);
    reader.integer("max_body_bytes", settings.maxBodyBytes, 1, 16'777'216);
    reader.integer("retry_after_ms", settings.retryAfterMs, 0, kMaxMs);
}

auto readProcessor(ObjectReader &root, NodeSettings &settings, Errors &errors) -> void
{
    auto reader = ObjectReader(root.child("processor", false), root.pathOf("processor"), errors);
    auto share = 1.0;
    std::int64_t cores = 1;
    reader.fraction("share", share);
    reader.integer("cores", cores, 1, kMaxCores);
    reader.fraction("owner_min_share", settings.ownerMinShare);
    settings.processorShare = share * static_cast<double>(cores);
}

auto readContention(ObjectReader &root, NodeSettings &settings, Errors &errors) -> void
{
    auto  reader = ObjectReader(root.child("contention", false), root.pathOf("contention"), errors);
    auto &contention = settings.pool.contention;
    reader.flag("order_by_run_times", contention.isOrderLearned);
    reader.flag("share_by_weight", contention.isShareByWeight);
    reader.flag("admission", contention.hasAdmission);
    reader.flag("wait_for_place", contention.isWaitForPlace);
    reader.flag("move_runs", contention.mayMoveRuns);
    reader.integer("max_recording_runs", contention.maxRecordingRuns, 0, kMaxRecordingRuns);
    reader.number("far_factor", contention.farFactor, 1, kMaxFarFactor);
    reader.integer("stop_ms", contention.stopMs, 0, kMaxMs);
    reader.integer("restore_ms", contention.restoreMs, 0, kMaxMs);
}

// Switches on what a deployment names the figures for. The order under contention and what rests on it were not
// examined where operators evacuate zones.
auto switchFeatures(DeploymentSettings &deployment) -> void
{
    auto      &settings = deployment.settings;
    const auto has = [&](const char *group, const char *setting) {
        return settings.contains(group) && settings.at(group).contains(setting);
    };
    if (deployment.hasEvacuations || !has("contention", "far_factor")) {
        settings.erase("contention");
    } else {
        auto &contention = settings["contention"];
        contention["order_by_run_times"] = true;
        contention["admission"] = true;
        contention["wait_for_place"] = true;
        contention["move_runs"] = has("contention", "restore_ms") && has("contention", "stop_ms");
        contention["max_recording_runs"] = kContendedRecordingRuns;
    }
    if (deployment.hasEvacuations) {
        settings.erase("machines");
    } else if (has("machines", "calls_per_s")) {
        settings["machines"]["early_demand"] = true;
    }
}

// Returns the settings with those of the deployment's own tables, which all others go before.
auto addDeployment(const Json &json) -> Json
{
    if (!json.is_object() || !json.contains("deployment")) {
        return json;
    }
    auto own = json;
    own.erase("deployment");
    auto deployment = readDeployment(json.at("deployment"));
    switchFeatures(deployment);
    deployment.settings.merge_patch(own);
    return deployment.settings;
}

auto readRoot(const Json &json, ParsedNodeSettings &parsed) -> void
{
    auto &settings = parsed.settings;
    auto &errors = parsed.errors;
    auto  root = ObjectReader(addDeployment(json), "", errors);
    root.name("name", settings.name);
    root.name("zone", settings.zone);
    readListen(root, settings, errors);
    readStore(root, settings, errors);
    readServices(root, settings, errors);
    readWorkers(root, settings, errors);
    readCallers(root, settings, errors);
    readProcessor(root, settings, errors);
    readContention(root, settings, errors);
    root.integer("tick_ms", settings.tickMs, 1, 1'000);
    root.integer("stop_linger_ms", settings.stopLingerMs, 0, kMaxMs);
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

auto parseNodeSettings(std::string_view json) -> ParsedNodeSettings
{
    auto parsed = ParsedNodeSettings{};
    readSettingsText(json, parsed.errors, [&](const Json &root) { readRoot(root, parsed); });
    return parsed;
}

} // namespace peridotwalk
