#include "entry/entry.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace peridotwalk {

namespace {

using Json = nlohmann::json;

constexpr TimeMs kMaxMs = 86'400'000;

auto readListen(ObjectReader &root, EntrySettings &settings, std::vector<SettingsError> &errors)
    -> void
{
    auto reader = ObjectReader(root.child("listen", true), root.pathOf("listen"), errors);
    reader.address("callers", settings.callersAddress);
    reader.address("operators", settings.operatorsAddress);
    reader.address("peers", settings.peersAddress);
}

auto readPlatform(ObjectReader &root, EntrySettings &settings, std::vector<SettingsError> &errors)
    -> void
{
    auto reader = ObjectReader(root.child("platform", true), root.pathOf("platform"), errors);
    reader.address("log", settings.logAddress);
    reader.address("instances", settings.instancesAddress);
    reader.integer("log_poll_ms", settings.logPollMs, 10, kMaxMs);
    reader.integer("list_poll_ms", settings.listPollMs, 10, kMaxMs);
    reader.integer("timeout_ms", settings.platformTimeoutMs, 10, kMaxMs);
}

auto readMembership(ObjectReader &root, MembershipSettings &settings,
                    std::vector<SettingsError> &errors) -> void
{
    auto reader = ObjectReader(root.child("membership", false), root.pathOf("membership"), errors);
    reader.integer("heartbeat_ms", settings.heartbeatMs, 10, kMaxMs);
    reader.integer("suspect_after_ms", settings.suspectAfterMs, 20, kMaxMs);
    reader.integer("fence_log_ms", settings.fenceLogMs, 100, kMaxMs);
    reader.integer("evict_grace_ms", settings.evictGraceMs, 100, kMaxMs);
    reader.integer("fence_peers_ms", settings.fencePeersMs, 100, kMaxMs);
    reader.integer("evict_unheard_ms", settings.evictUnheardMs, 100, kMaxMs);
    reader.integer("max_run_ms", settings.maxRunMs, 1, kMaxMs);
    const auto status = checkMembershipSettings(settings);
    if (!status.ok()) {
        reader.fail("", std::string(status.message()));
    }
}

auto readClaims(ObjectReader &root, ClaimSettings &settings, std::vector<SettingsError> &errors)
    -> void
{
    auto reader = ObjectReader(root.child("claims", false), root.pathOf("claims"), errors);
    reader.integer("window_ms", settings.windowMs, 1'000, kMaxMs);
    reader.integer("clock_skew_ms", settings.clockSkewMs, 0, kMaxMs);
    reader.integer("max_claims", settings.maxClaims, 1, 10'000'000);
    reader.integer("max_answer_bytes", settings.maxAnswerBytes, 0, 16'777'216);
    reader.integer("max_answers_bytes", settings.maxAnswersBytes, 0, 1'073'741'824);
}

auto readRouting(ObjectReader &root, RoutingSettings &settings, std::vector<SettingsError> &errors)
    -> void
{
    auto reader = ObjectReader(root.child("routing", false), root.pathOf("routing"), errors);
    reader.text("policy", settings.policy);
    reader.integer("slot_overcommit", settings.slotOvercommit, 0, 64);
    reader.fraction("eject_failure_rate", settings.ejectFailureRate);
    reader.fraction("eject_max_part", settings.ejectMaxFraction);
    reader.integer("eject_ms", settings.ejectMs, 0, kMaxMs);
    reader.integer("eject_max_ms", settings.ejectMaxMs, 0, kMaxMs);
    reader.integer("return_ms", settings.slowStartMs, 0, kMaxMs);
    if (makePolicy(settings.policy) == nullptr) {
        reader.fail("policy", fmt::format("there is no policy '{}'", settings.policy));
    }
}

auto readRequests(ObjectReader &root, EntrySettings &settings, std::vector<SettingsError> &errors)
    -> void
{
    auto  reader = ObjectReader(root.child("requests", false), root.pathOf("requests"), errors);
    auto &requests = settings.engine.requests;
    reader.integer("max_requests", requests.maxRequests, 1, 1'000'000);
    reader.integer("max_body_bytes", requests.maxBodyBytes, 1, 8'388'608);
    reader.integer("max_waiters", requests.maxWaiters, 0, 1'000);
    reader.integer("max_attempts", requests.maxAttempts, 1, 10);
    reader.integer("unit_ask_ms", requests.unitRequestIntervalMs, 1, kMaxMs);
    reader.integer("claim_retry_ms", requests.claimRetryMs, 1, kMaxMs);
    reader.integer("cut_off_open_ms", requests.isolatedOpenMs, 0, kMaxMs);
    reader.integer("retry_after_ms", requests.retryAfterMs, 0, kMaxMs);
    reader.integer("max_header_bytes", settings.maxHeaderBytes, 256, 1'048'576);
    reader.integer("sender_timeout_seconds", settings.callerTimeoutSeconds, 1, 3'600);
    reader.integer("default_deadline_ms", settings.defaultDeadlineMs, 1, kMaxMs);
}

auto readTasks(ObjectReader &root, TaskSettings &settings, std::vector<SettingsError> &errors)
    -> void
{
    auto reader = ObjectReader(root.child("tasks", false), root.pathOf("tasks"), errors);
    reader.integer("lease_ms", settings.leaseMs, 100, kMaxMs);
    reader.integer("renew_ms", settings.renewMs, 10, kMaxMs);
    reader.integer("call_timeout_ms", settings.callTimeoutMs, 10, kMaxMs);
    reader.integer("urgent_wait_ms", settings.urgentWaitMs, 0, kMaxMs);
    reader.integer("max_worker_fails", settings.maxWorkerFails, 1, 100);
    reader.integer("batch_ms", settings.batchMs, 1, kMaxMs);
    if (settings.renewMs * 3 > settings.leaseMs) {
        reader.fail("renew_ms", "must be at most a third of lease_ms");
    }
}

auto readRoot(const Json &json, ParsedSettings &parsed) -> void
{
    auto &settings = parsed.settings;
    auto &errors = parsed.errors;
    auto  root = ObjectReader(json, "", errors);
    root.name("name", settings.name);
    root.name("zone", settings.zone);
    root.name("rack", settings.rack);
    readListen(root, settings, errors);
    readPlatform(root, settings, errors);
    root.addresses("peers", settings.peers);
    root.integer("tick_ms", settings.tickMs, 1, 1'000);
    root.integer("shutdown_ms", settings.shutdownMs, 0, kMaxMs);
    root.integer("explain_entries", settings.explainEntries, 0, 1'000'000);
    root.integer("snapshot_every", settings.engine.snapshotEvery, 10, 1'000'000);
    readMembership(root, settings.engine.membership, errors);
    readClaims(root, settings.engine.claims, errors);
    readRouting(root, settings.engine.routing, errors);
    readRequests(root, settings, errors);
    readTasks(root, settings.engine.tasks, errors);
    if (settings.engine.tasks.leaseMs + kLateDeliveryMs > settings.engine.membership.maxRunMs) {
        errors.push_back(
            {"/tasks/lease_ms",
             fmt::format("must be at most membership/max_run_ms - {}", kLateDeliveryMs)});
    }
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

auto parseEntrySettings(std::string_view json) -> ParsedSettings
{
    auto parsed = ParsedSettings{};
    readSettingsText(json, parsed.errors, [&](const Json &root) { readRoot(root, parsed); });
    auto &engine = parsed.settings.engine;
    engine.zone = parsed.settings.zone;
    engine.rack = parsed.settings.rack;
    engine.peerAddress = parsed.settings.peersAddress;
    return parsed;
}

} // namespace peridotwalk
