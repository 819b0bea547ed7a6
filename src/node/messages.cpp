#include "node/node_internal.h"

#include "jobs/jobs_wire.h"

MSGPACK_ADD_ENUM(peridotwalk::PoolVerb)
MSGPACK_ADD_ENUM(peridotwalk::PoolScope)
MSGPACK_ADD_ENUM(peridotwalk::PoolStatus)
MSGPACK_ADD_ENUM(peridotwalk::JobState)

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    PERIDOTWALK_WIRE(PoolCall, v.verb, v.pool, v.job, v.queue, v.spec, v.scope, v.version)
    PERIDOTWALK_WIRE(PoolAnswer, v.status, v.state, v.count, v.reason, v.retryAfterMs,
                     v.earlierPools)
    PERIDOTWALK_WIRE(TenantMaximum, v.tenant, v.maximum)
    PERIDOTWALK_WIRE(TenantReport, v.tenant, v.allowance, v.used, v.wanted, v.placeable, v.least)
    PERIDOTWALK_WIRE(WorkerLoad, v.id, v.runs, v.unboundedRuns, v.cpu, v.unboundedCpu, v.isCordoned,
                     v.isUsable, v.expiredCpu)
    PERIDOTWALK_WIRE(PoolReport, v.pool, v.token, v.tenants, v.workers, v.wanted, v.perWorker,
                     v.wantedLate, v.ownerLimited, v.sequence, v.coordinator, v.isDormant,
                     v.rulesVersion, v.maxima, v.arrivingCpu)
    PERIDOTWALK_WIRE(TenantGrant, v.tenant, v.allowance)
    PERIDOTWALK_WIRE(PoolDirection, v.token, v.grants, v.cordoned, v.rulesVersion, v.maxima,
                     v.urgent)

    } // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE
} // namespace msgpack

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Messages between nodes
//-----------------------------------------------------------------------------

auto packCall(const PoolCall &call) -> std::string
{
    return packWire(call);
}

auto unpackCall(std::string_view bytes) -> absl::StatusOr<PoolCall>
{
    return unpackWire<PoolCall>("peer.call", "peer", bytes);
}

auto packAnswer(const PoolAnswer &answer) -> std::string
{
    return packWire(answer);
}

auto unpackAnswer(std::string_view bytes) -> absl::StatusOr<PoolAnswer>
{
    return unpackWire<PoolAnswer>("peer.answer", "peer", bytes);
}

auto packReport(const PoolReport &report) -> std::string
{
    return packWire(report);
}

auto unpackReport(std::string_view bytes) -> absl::StatusOr<PoolReport>
{
    return unpackWire<PoolReport>("peer.report", "peer", bytes);
}

auto packDirection(const PoolDirection &direction) -> std::string
{
    return packWire(direction);
}

auto unpackDirection(std::string_view bytes) -> absl::StatusOr<PoolDirection>
{
    return unpackWire<PoolDirection>("peer.direction", "peer", bytes);
}

} // namespace peridotwalk
