// Rate at which work arrives. Only for the sources of this library and its tests.

#pragma once

#include "jobs/jobs.h"

#include <deque>

namespace peridotwalk {

// Returns the estimated work of a job in core-ms. Only of
// tasks that end: unbounded tasks, tasks without estimates and scheduled jobs count as none.
auto estimatedWork(const JobSpec &spec) -> double;

// Work that arrived in the last 500 ms.
class ArrivalRate
{
public:
    // Commands.
    auto add(TimeMs now, double coreMs) -> void;
    auto advance(TimeMs now) -> void; // Drops what is too old.

    // Queries.
    // Returns the thousandths of a core that this rate is known to keep busy, as of the last call of a command.
    auto cpu() const -> std::int64_t;

private:
    // All arrivals of a few ms, so that the number of entries is bounded.
    struct Slice {
        TimeMs       startedAt = 0;
        double       coreMs = 0;
        std::int64_t jobs = 0;
    };

    std::deque<Slice> slices_; // Oldest first.
};

} // namespace peridotwalk
