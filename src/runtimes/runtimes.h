// How long runs take, learned from those that have ended. Pure: no clock.
//
// Callers' estimates are rough, and a small share of tasks takes several times as long as the others. The
// model keeps, for each queue, how the ratio of actual to estimated run time is distributed.
//
//   auto times = RunTimes();
//   times.observe("invoices", 1'000, 1'250);            // An estimate of 1 s, and a run of 1.25 s.
//   auto left = times.remaining("invoices", 1'000, 600); // Expected rest of a run that has run for 0.6 s.
//
// Index of this file
// [SECTION] Settings
// [SECTION] Run times

#pragma once

#include "base/base.h"

#include <array>
#include <map>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

struct RunTimeSettings {
    double      priorWeight = 8;    // Observations that the estimates themselves count as.
    double      maxWeight = 512;    // Older observations fade once a queue has more than this.
    std::size_t maxQueues = 10'000; // Further queues are taken at their estimates.
};

//-----------------------------------------------------------------------------
// [SECTION] Run times
//-----------------------------------------------------------------------------

class RunTimes
{
public:
    explicit RunTimes(const RunTimeSettings &settings = {}) : settings_(settings) { }

    // Commands.
    // A run has ended as done. Estimates of 0 tell nothing and are ignored.
    auto observe(std::string_view queue, TimeMs estimateMs, TimeMs tookMs) -> void;

    // Queries. All times in ms; an estimate of 0 gives 0.
    // Returns the expected run time of a task that hasn't begun.
    auto expected(std::string_view queue, TimeMs estimateMs) const -> TimeMs;
    // Returns the run time that the given part of the runs doesn't exceed. `part`: 0 to 1.
    auto quantile(std::string_view queue, TimeMs estimateMs, double part) const -> TimeMs;
    // Returns the expected rest of a run that has run for `ranMs`. A run that is longer than any before it
    // is expected to take as long again as it has taken.
    auto remaining(std::string_view queue, TimeMs estimateMs, TimeMs ranMs) const -> TimeMs;

private:
    // Ratios from 1/8 to 32, four classes to each doubling.
    static constexpr int kClassesPerDoubling = 4;
    static constexpr int kFirstDoubling = -3;
    static constexpr int kClasses = 8 * kClassesPerDoubling + 1;

    struct Distribution {
        std::array<double, kClasses> weights = {};
        double                       total = 0;
    };

    static auto classOf(double ratio) -> std::size_t;
    static auto ratioOf(std::size_t number) -> double; // The middle of a class.
    auto        makeDistribution() const -> Distribution;
    auto        find(std::string_view queue) const -> const Distribution *;

    RunTimeSettings                                  settings_;
    std::map<std::string, Distribution, std::less<>> queues_;
};

} // namespace peridotwalk
