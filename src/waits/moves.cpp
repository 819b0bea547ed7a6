#include "waits/waits.h"

#include <algorithm>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Moves
//-----------------------------------------------------------------------------

auto moveCostMs(const MoveSettings &settings) -> TimeMs
{
    return settings.stopMs + settings.restoreMs + settings.startDelayMs;
}

auto decideMoves(const MoveSettings &settings, std::int64_t workerCpu,
                 std::span<const MoveCandidate> runs) -> MoveDecision
{
    const auto stays = [&](const MoveCandidate &run) {
        return !run.isMovable || run.remainingMs <= settings.stopMs + settings.restoreMs;
    };
    auto decision = MoveDecision{};
    decision.freeAfterMs = settings.stopMs;
    for (const auto &run : runs) {
        decision.emptyAfterMs = std::max(decision.emptyAfterMs, run.remainingMs);
        if (stays(run)) {
            decision.freeAfterMs = std::max(decision.freeAfterMs, run.remainingMs);
        }
    }
    std::int64_t movedCpu = 0;
    for (std::size_t index = 0; index < runs.size(); ++index) {
        if (!stays(runs[index]) && runs[index].remainingMs > decision.freeAfterMs) {
            decision.moved.push_back(index);
            movedCpu += runs[index].cpu;
        }
    }
    constexpr double kCore = 1'000; // Thousandths of a core.
    const auto       savedMs = std::max<TimeMs>(0, decision.emptyAfterMs - decision.freeAfterMs);
    decision.freedCoreMs = static_cast<double>(savedMs) * static_cast<double>(workerCpu) / kCore;
    decision.costCoreMs =
        static_cast<double>(moveCostMs(settings)) * static_cast<double>(movedCpu) / kCore;
    if (decision.freedCoreMs <= 0
        || decision.freedCoreMs < settings.minGain * decision.costCoreMs) {
        decision.moved.clear();
    }
    return decision;
}

} // namespace peridotwalk
