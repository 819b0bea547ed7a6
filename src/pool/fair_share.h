// Order between tenants that compete for the workers of a pool. Pure: no clock.
//
// Each tenant with work has a share of the pool by its weight. Work within the shares goes first, in the order that it
// has; what tenants leave of their shares goes to the others. So one tenant's surge waits, and not the usual work of all.
// What a tenant has used before counts too, and decays, so that tenants whose short runs end between two rounds don't
// appear idle.
//
//   auto share = FairShare();
//   share.setWeights({{"red", 2}, {"blue", 1}});
//   share.setUsage(nowMs, {{"red", 8'000}, {"blue", 8'000}});
//   auto isOver = share.findOverShare(claims, 18'000); // Of blue, and of red beyond 12 cores.
//
// Index of this file
// [SECTION] Claims
// [SECTION] Fair share

#pragma once

#include "base/base.h"

#include <map>
#include <span>
#include <vector>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Claims
//-----------------------------------------------------------------------------

// Work that waits for workers.
struct ShareClaim {
    std::string_view tenant;  // Empty: of queues that are open to all. These share as one tenant.
    std::int64_t     cpu = 0; // Thousandths of a core that it would use. Less than 0 counts as 0.
};

//-----------------------------------------------------------------------------
// [SECTION] Fair share
//-----------------------------------------------------------------------------

class FairShare
{
public:
    // Commands.
    // Weights of 0 or less, or that aren't finite, count as the smallest positive one. Other tenants have 1.
    auto setWeights(std::map<std::string, double, std::less<>> weights) -> void;
    // What runs use now, in thousandths of a core, by tenant. Missing: nothing.
    auto setUsage(TimeMs nowMs, const std::map<std::string, std::int64_t> &cpu) -> void;

    // Queries.
    auto weight(std::string_view tenant) const -> double;
    // Returns present usage, or the decaying average of what was used before if that is more, in thousandths of a core.
    auto usage(std::string_view tenant) const -> double;
    // Returns for each claim whether its tenant has its share of `capacityCpu` thousandths of a core, with what it uses
    // and what it claims before this one.
    auto findOverShare(std::span<const ShareClaim> claims, std::int64_t capacityCpu) const
        -> std::vector<bool>;

private:
    struct Usage {
        double now = 0;
        double average = 0; // Of the time before.
    };

    std::map<std::string, double, std::less<>> weights_;
    std::map<std::string, Usage, std::less<>>  usages_;
    TimeMs                                     updatedAt_ = 0;
};

} // namespace peridotwalk
