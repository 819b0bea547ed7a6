#include "node/node_internal.h"

#include "base/wire.h"

namespace peridotwalk {

// JobSpec travels as the bytes of the journal's codec, so that its shape stands in one place.
struct PoolCallRow {
    std::int64_t verb = 0;
    std::string  pool;
    std::string  job;
    std::string  queue;
    std::string  spec;
};

struct PoolAnswerRow {
    std::int64_t status = 0;
    std::int64_t state = 0;
    std::int64_t count = 0;
    std::string  reason;
    TimeMs       retryAfterMs = 0;
};

} // namespace peridotwalk

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    PERIDOTWALK_WIRE(PoolCallRow, v.verb, v.pool, v.job, v.queue, v.spec)
    PERIDOTWALK_WIRE(PoolAnswerRow, v.status, v.state, v.count, v.reason, v.retryAfterMs)

    } // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE
} // namespace msgpack

namespace peridotwalk {

namespace {

template <typename Value>
auto packValue(const Value &value) -> std::string
{
    auto buffer = msgpack::sbuffer();
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

template <typename Value>
auto unpackValue(std::string_view bytes) -> absl::StatusOr<Value>
{
    try {
        return msgpack::unpack(bytes.data(), bytes.size()).get().as<Value>();
    } catch (const std::exception &error) {
        return makeError(absl::StatusCode::kInvalidArgument, "peer.message", "peer", error.what());
    }
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Messages between nodes
//-----------------------------------------------------------------------------

auto packCall(const PoolCall &call) -> std::string
{
    const auto isSubmit = call.verb == PoolVerb::Submit;
    return packValue(PoolCallRow{static_cast<std::int64_t>(call.verb), call.pool, call.job,
                                 call.queue, isSubmit ? packJobSpec(call.spec) : std::string()});
}

auto unpackCall(std::string_view bytes) -> absl::StatusOr<PoolCall>
{
    auto row = unpackValue<PoolCallRow>(bytes);
    if (!row.ok()) {
        return row.status();
    }
    auto call = PoolCall{static_cast<PoolVerb>(row->verb), row->pool, row->job, row->queue, {}};
    if (call.verb == PoolVerb::Submit) {
        auto spec = unpackJobSpec(row->spec);
        if (!spec.ok()) {
            return spec.status();
        }
        call.spec = *std::move(spec);
    }
    return call;
}

auto packAnswer(const PoolAnswer &answer) -> std::string
{
    return packValue(PoolAnswerRow{static_cast<std::int64_t>(answer.status),
                                   static_cast<std::int64_t>(answer.state), answer.count,
                                   answer.reason, answer.retryAfterMs});
}

auto unpackAnswer(std::string_view bytes) -> absl::StatusOr<PoolAnswer>
{
    auto row = unpackValue<PoolAnswerRow>(bytes);
    if (!row.ok()) {
        return row.status();
    }
    return PoolAnswer{static_cast<PoolStatus>(row->status), static_cast<JobState>(row->state),
                      row->count, row->reason, row->retryAfterMs};
}

} // namespace peridotwalk
