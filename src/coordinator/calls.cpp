#include "coordinator/coordinator.h"

#include <algorithm>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Machine planner: calls
//-----------------------------------------------------------------------------

auto MachinePlanner::findDrainedMachines(TimeMs now)
    -> std::vector<std::pair<std::string, Machine *>>
{
    auto drained = std::vector<std::pair<std::string, Machine *>>();
    for (auto &[name, machine] : machines_) {
        const auto isWanted = !machine.wantedPool.empty() || !machine.wantedWave.empty();
        if (isWanted && !machine.isCalling && now >= machine.retryAt && !isUnavailable(now, machine)
            && isMachineDrained(now, machine)) {
            drained.emplace_back(name, &machine);
        }
    }
    return drained;
}

// Puts moves to the pool with the largest shortage first, counting those before it in the order. Calls for waves
// follow, then moves to standby.
auto MachinePlanner::sortByShortage(std::vector<std::pair<std::string, Machine *>> &calls) const
    -> void
{
    auto left = shortages_;
    auto ranks = std::map<std::string, std::int64_t>();
    for (const auto &[name, machine] : calls) {
        const auto pool = left.find(machine->wantedPool);
        if (!machine->wantedWave.empty()) {
            ranks[name] = 0;
        } else {
            ranks[name] = pool == left.end() ? -1 : std::max<std::int64_t>(1, pool->second--);
        }
    }
    std::ranges::stable_sort(calls, std::ranges::greater(),
                             [&](const auto &call) { return ranks.at(call.first); });
}

// While calls are paced, no more of them are chosen than can be sent at once: the others can still be changed.
auto MachinePlanner::callDrainedMachines(TimeMs now) -> void
{
    auto drained = findDrainedMachines(now);
    if (pacer_.isPaced()) {
        sortByShortage(drained);
        const auto waiting =
            std::ssize(callsToRecord_) + std::ssize(callsBeingRecorded_) + std::ssize(callsToSend_);
        const auto most = std::max<std::int64_t>(0, pacer_.burst() - waiting);
        drained.resize(std::min(drained.size(), static_cast<std::size_t>(most)));
    }
    for (const auto &[name, machine] : drained) {
        callMachine(now, name, *machine);
    }
}

auto MachinePlanner::callMachine(TimeMs now, const std::string &name, Machine &machine) -> void
{
    machine.isCalling = true;
    machine.wasListedUnavailable = false;
    machine.calledWorker = machine.entry.worker;
    std::erase_if(cordonedUntil_, [&](const auto &item) { return item.second < now; });
    markCalled(now, machine);
    const auto isMaintained = !machine.wantedWave.empty();
    callsToRecord_.push_back(
        {name, isMaintained ? std::string() : machine.wantedPool, machine.wantedWave});
}

// Writes the record before the calls that it names are sent. One append is in flight at a time.
auto MachinePlanner::recordCalls(TimeMs now) -> void
{
    if (isRecording_) {
        return;
    }
    auto record = CoordinatorRecord{};
    for (const auto &[name, wave] : waves_) {
        if (!wave.done.empty()) {
            record.maintained[name] = wave.done;
        }
    }
    for (const auto &[name, machine] : machines_) {
        if (machine.isCalling
            || (machine.calledAt >= 0 && now - machine.calledAt < settings_.recentCallMs)) {
            record.called.insert(name);
        }
    }
    for (const auto &[worker, until] : cordonedUntil_) {
        if (now < until) {
            record.cordoned.insert(worker);
        }
    }
    const auto isDue = !callsToRecord_.empty() || record.maintained != lastRecord_.maintained;
    if (!isDue) {
        return;
    }
    isRecording_ = true;
    lastRecord_ = std::move(record);
    callsBeingRecorded_ = std::exchange(callsToRecord_, {});
    actions_.emplace_back(std::in_place_type<RecordCalls>, RecordCalls{++sequence_, lastRecord_});
}

auto MachinePlanner::onRecorded(TimeMs now, std::int64_t sequence) -> void
{
    if (!isRecording_ || sequence != sequence_) {
        return;
    }
    isRecording_ = false;
    for (auto &call : std::exchange(callsBeingRecorded_, {})) {
        callsToSend_.push_back(std::move(call));
    }
    sendCalls(now);
}

// Sends recorded calls as the platform's rate allows. Calls that wait here stay named in the record.
auto MachinePlanner::sendCalls(TimeMs now) -> void
{
    while (!callsToSend_.empty() && pacer_.take(now)) {
        const auto call = std::move(callsToSend_.front());
        callsToSend_.pop_front();
        auto &machine = machines_[call.machine];
        markCalled(now, machine);
        arrivals_.onCalled(now, call.machine, machine.calledWorker);
        if (call.wave.empty()) {
            actions_.emplace_back(std::in_place_type<MoveMachine>,
                                  MoveMachine{call.machine, call.pool});
        } else {
            actions_.emplace_back(std::in_place_type<MaintainMachine>,
                                  MaintainMachine{call.machine, call.wave});
        }
    }
}

// The machine is about to stop, and its worker with it.
auto MachinePlanner::markCalled(TimeMs now, Machine &machine) -> void
{
    machine.calledAt = now;
    machine.unavailableUntil = now + settings_.settleMs;
    if (!machine.calledWorker.empty()) {
        cordonedUntil_[machine.calledWorker] = now + settings_.calledCordonMs;
    }
}

} // namespace peridotwalk
