#include "services/services.h"

#include <algorithm>

namespace peridotwalk {

namespace {

constexpr std::size_t kMaxNameBytes = 255; // The platform's keys have a length of one byte.
constexpr std::size_t kMaxLabels = 64;
constexpr std::size_t kMaxMachines = 100'000;
constexpr TimeMs      kMaxWaveMs = 365LL * 24 * 3'600 * 1'000;

auto badEntry(std::string_view step, const std::string &name, std::string_view reason)
    -> absl::Status
{
    return makeError(absl::StatusCode::kInvalidArgument, step, name.substr(0, kMaxNameBytes),
                     reason);
}

auto isName(const std::string &name) -> bool
{
    return !name.empty() && name.size() <= kMaxNameBytes;
}

// Returns whether a connection to the address can be tried.
auto isDialable(std::string_view address) -> bool
{
    const auto endpoint = parseEndpoint(address);
    return endpoint.ok() && endpoint->port > 0;
}

auto areLabels(const std::set<std::string> &labels) -> bool
{
    return labels.size() <= kMaxLabels && std::ranges::all_of(labels, [](const auto &label) {
               return label.size() <= kMaxNameBytes;
           });
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Directory
//-----------------------------------------------------------------------------

auto checkWorker(const WorkerReport &worker) -> absl::Status
{
    constexpr std::string_view kStep = "worker.check";
    if (!isName(worker.id) || !isName(worker.pool) || !isName(worker.zone)) {
        return badEntry(kStep, worker.id, "a name is empty or too long");
    }
    if (!isDialable(worker.address)) {
        return badEntry(kStep, worker.id, "the address isn't an IPv4 number and a port");
    }
    if (!worker.capacity.isInRange()) {
        return badEntry(kStep, worker.id, "the capacity is out of range");
    }
    if (!areLabels(worker.labels)) {
        return badEntry(kStep, worker.id, "there are too many labels, or too long ones");
    }
    if (worker.startedAtMs < 0 || worker.startedAtMs > kMaxWallMs) {
        return badEntry(kStep, worker.id, "the start time is out of range");
    }
    return absl::OkStatus();
}

auto checkWave(const WaveOrder &wave) -> absl::Status
{
    constexpr std::string_view kStep = "wave.check";
    if (wave.machines.size() > kMaxMachines || !std::ranges::all_of(wave.machines, isName)) {
        return badEntry(kStep, wave.name, "there are too many machines, or a name is odd");
    }
    if (wave.withinMs < 0 || wave.withinMs > kMaxWaveMs) {
        return badEntry(kStep, wave.name, "the time limit is out of range");
    }
    if (wave.maxAtOnce < 0 || wave.maxAtOnce > kMaxAmount) {
        return badEntry(kStep, wave.name, "the limit of machines is out of range");
    }
    return absl::OkStatus();
}

//-----------------------------------------------------------------------------
// [SECTION] Machines
//-----------------------------------------------------------------------------

auto checkMachine(const MachineEntry &machine) -> absl::Status
{
    constexpr std::string_view kStep = "machine.check";
    if (!isName(machine.name) || !isName(machine.pool) || !areLabels(machine.labels)
        || machine.zone.size() > kMaxNameBytes || machine.worker.size() > kMaxNameBytes) {
        return badEntry(kStep, machine.name, "a name is empty or too long");
    }
    return absl::OkStatus();
}

} // namespace peridotwalk
