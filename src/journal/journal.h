// Jobs as records of the journal: one record for what a job asks for, written once, and one for how
// far it is, written at each change. Both are msgpack.
//
// Index of this file
// [SECTION] Records

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

} // namespace peridotwalk
