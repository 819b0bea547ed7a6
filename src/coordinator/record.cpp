#include "coordinator/coordinator.h"

#include "base/wire.h"

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    PERIDOTWALK_WIRE(CoordinatorRecord, v.maintained, v.called, v.cordoned)

    } // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE
} // namespace msgpack

namespace peridotwalk {

namespace {

// Keys of pools' records begin with j, p or h.
constexpr std::string_view kCoordinatorKey = "coordinator";

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Coordinator's record
//-----------------------------------------------------------------------------

auto encodeCoordinator(const CoordinatorRecord &record) -> KeyedRecord
{
    return {std::string(kCoordinatorKey), packWire(record)};
}

auto findCoordinator(const std::vector<KeyedRecord> &records) -> absl::StatusOr<CoordinatorRecord>
{
    for (const auto &record : records) {
        if (record.key == kCoordinatorKey && !record.value.empty()) {
            return unpackWire<CoordinatorRecord>("journal.coordinator", record.key, record.value);
        }
    }
    return CoordinatorRecord{};
}

} // namespace peridotwalk
