// Encoding of jobs as journal records. Each job has a record with its specification, written once, and
// one with its progress, written at each change. Both are msgpack.
//
// Index of this file
// [SECTION] Records
// [SECTION] Handover
// [SECTION] Queue homes

#pragma once

#include "services/services.h"

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Records
//-----------------------------------------------------------------------------

using JobTable = std::map<std::string, Job, std::less<>>; // By id.

auto encodeJob(const Job &job) -> KeyedRecord; // The specification.
auto encodeProgress(const Job &job) -> KeyedRecord;

// Result of restoreJobs().
struct RestoredJobs {
    JobTable                  jobs;
    std::vector<absl::Status> errors; // One for each record that can't be used. Names its key.
};

// Restores jobs from records in any order. Live runs get RunPhase::Unknown. A record that can't be
// used doesn't affect the others.
auto restoreJobs(const std::vector<KeyedRecord> &records) -> RestoredJobs;

//-----------------------------------------------------------------------------
// [SECTION] Handover
//-----------------------------------------------------------------------------

// Written by an owner that hands its pool over as planned. For each worker, the time until everything
// that runs there is over for certain unless the lease is extended. Durations, since the clocks of
// machines may differ: the next owner counts them from its own start.
struct Handover {
    std::map<std::string, TimeMs> expiresInMs; // By worker. Workers that aren't named run nothing.
};

auto encodeHandover(const std::string &pool, const Handover &handover) -> KeyedRecord;

// Returns the record that removes the handover. It is written before the new owner extends any lease.
auto encodeHandoverRemoval(const std::string &pool) -> KeyedRecord;

// Returns nothing if the last owner of the pool wrote no handover, or if it can't be read.
auto findHandover(const std::string &pool, const std::vector<KeyedRecord> &records)
    -> std::optional<Handover>;

//-----------------------------------------------------------------------------
// [SECTION] Queue homes
//-----------------------------------------------------------------------------

// Written by the pool that alone accepts new jobs of a queue. Operators' rules send a queue to a pool, but
// nodes apply a new version at different times, so the pools settle between them which one it is.
struct QueueHome {
    std::set<std::string> earlierPools; // Other pools that may hold jobs of the queue.
};
using QueueHomes = std::map<std::string, QueueHome, std::less<>>; // By queue.

auto encodeQueueHome(const std::string &pool, const std::string &queue, const QueueHome &home)
    -> KeyedRecord;
auto encodeQueueHomeRemoval(const std::string &pool, const std::string &queue) -> KeyedRecord;

// Returns the queues that the pool is the home of. Records that can't be read count as missing: the pool
// then settles the queue anew.
auto findQueueHomes(const std::string &pool, const std::vector<KeyedRecord> &records) -> QueueHomes;

} // namespace peridotwalk
