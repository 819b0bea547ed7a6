// Jobs as records of the journal: one record for what a job asks for, written once, and one for how
// far it is, written at each change. Both are msgpack.
//
// Index of this file
// [SECTION] Records
// [SECTION] Hand-over

#pragma once

#include "services/services.h"

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Records
//-----------------------------------------------------------------------------

using JobTable = std::map<std::string, Job, std::less<>>; // By id.

auto encodeJob(const Job &job) -> KeyedRecord;
auto encodeProgress(const Job &job) -> KeyedRecord;

// Rebuilds jobs from records in any order. Live runs come out as RunPhase::Unknown.
// Records that can't be read are returned as errors, each naming its key; the others are applied.
struct RestoredJobs {
    JobTable                  jobs;
    std::vector<absl::Status> errors;
};
auto restoreJobs(const std::vector<KeyedRecord> &records) -> RestoredJobs;

//-----------------------------------------------------------------------------
// [SECTION] Hand-over
//-----------------------------------------------------------------------------

// What an owner that gives its pool up tells the next one: for each worker, in how many ms at most
// everything that runs there is over unless its lease is extended. Durations, so that clocks of
// machines needn't agree: the next owner counts them from its own start.
struct HandOver {
    std::map<std::string, TimeMs> expiresInMs; // By worker. Workers that aren't named run nothing.
};

auto encodeHandOver(const std::string &pool, const HandOver &note) -> KeyedRecord;
auto encodeHandOverRemoval(const std::string &pool)
    -> KeyedRecord; // Before the new owner extends any lease.

// Returns nothing if the last owner of the pool left no note.
auto findHandOver(const std::string &pool, const std::vector<KeyedRecord> &records)
    -> std::optional<HandOver>;

} // namespace peridotwalk
