// Encoding of jobs as journal records. Each job has a record with its specification, written once, and
// records with its progress, written as they change. All are msgpack.
//
// The store limits the length of a record, so each record of the progress covers a fixed range of tasks,
// counted through the occurrences and their steps. The first one also has the job's state.
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

constexpr std::int64_t kTasksPerRecord = 128;
constexpr std::int64_t kMaxTaskRowBytes = 320; // A task's row without its checkpoint.

auto encodeJob(const Job &job) -> KeyedRecord; // The specification.
auto encodeProgress(const Job &job, std::int64_t number = 0) -> KeyedRecord;

// Returns the number of the progress record that has a task's row, from 0.
auto progressRecordOf(const JobSpec &spec, const TaskRef &task) -> std::int64_t;

// Returns the length of the longest checkpoint that fits into a progress record of this length.
auto maxCheckpointBytes(std::int64_t maxRecordBytes) -> std::size_t;

// Returns the size of a record as the store counts it: the key has its length in front.
auto recordBytes(const KeyedRecord &record) -> std::int64_t;

// Returns ok, or an error if a job is too large to be accepted: its specification doesn't fit into a record
// of this length, or a node can't keep its tasks.
auto checkSize(const JobSpec &spec, std::int64_t maxRecordBytes) -> absl::Status;

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

//-----------------------------------------------------------------------------
// [SECTION] Early cancels
//-----------------------------------------------------------------------------

// Written when a caller cancels a job that the pool doesn't have: its submission may still be on its way, and
// isn't to run once it arrives.
struct EarlyCancel {
    std::string queue; // As the call named it.
};
using EarlyCancels = std::map<std::string, EarlyCancel, std::less<>>; // By job.

auto encodeEarlyCancel(const std::string &pool, const std::string &job, const EarlyCancel &cancel)
    -> KeyedRecord;
auto encodeEarlyCancelRemoval(const std::string &pool, const std::string &job) -> KeyedRecord;
auto findEarlyCancels(const std::string &pool, const std::vector<KeyedRecord> &records)
    -> EarlyCancels; // Without those that can't be read.

} // namespace peridotwalk
