// msgpack encoding of job specifications, for the journal and for messages between nodes. Fields are
// packed by position.

#pragma once

#include "base/wire.h"
#include "jobs/jobs.h"

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    PERIDOTWALK_WIRE(ResourceSet, v.cpu, v.memoryMb, v.accelerators)
    PERIDOTWALK_WIRE(StepSpec, v.count, v.need, v.estimateMs, v.after, v.requiredLabel,
                     v.preferredRack, v.image, v.maxPerWorker, v.maxUnavailable, v.latencyTargetMs,
                     v.isGang, v.isSameRack, v.isSpeculative, v.isUnbounded, v.isFiller,
                     v.isCheckpointing)
    PERIDOTWALK_WIRE(JobSpec, v.id, v.queue, v.pool, v.tenant, v.payload, v.steps, v.occurrences,
                     v.startAtMs, v.intervalMs, v.rulesVersion, v.maxAttempts)

    } // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE
} // namespace msgpack
