// msgpack encoding of plain structs, as an array of their fields.
//
//   namespace msgpack { MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) { namespace adaptor {
//   PERIDOTWALK_WIRE(Point, v.x, v.y)
//   }}}

#pragma once

#include "base/base.h"

#include <msgpack.hpp>

namespace peridotwalk {

template <typename Value>
auto packWire(const Value &value) -> std::string
{
    auto buffer = msgpack::sbuffer();
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

// Errors carry the step and the name of the record.
template <typename Value>
auto unpackWire(std::string_view step, std::string_view name, std::string_view bytes)
    -> absl::StatusOr<Value>
{
    try {
        return msgpack::unpack(bytes.data(), bytes.size()).get().as<Value>();
    } catch (const std::exception &error) {
        return makeError(absl::StatusCode::kDataLoss, step, name, error.what());
    }
}

} // namespace peridotwalk

// Declares the encoding of a struct. The order of the fields is part of the format.
#define PERIDOTWALK_WIRE(Type, ...)                                                        \
    template <>                                                                            \
    struct pack<peridotwalk::Type> {                                                       \
        template <typename Stream>                                                         \
        auto operator()(msgpack::packer<Stream> &packer, const peridotwalk::Type &v) const \
            -> msgpack::packer<Stream> &                                                   \
        {                                                                                  \
            msgpack::type::make_define_array(__VA_ARGS__).msgpack_pack(packer);            \
            return packer;                                                                 \
        }                                                                                  \
    };                                                                                     \
    template <>                                                                            \
    struct convert<peridotwalk::Type> {                                                    \
        auto operator()(const msgpack::object &object, peridotwalk::Type &v) const         \
            -> const msgpack::object &                                                     \
        {                                                                                  \
            msgpack::type::make_define_array(__VA_ARGS__).msgpack_unpack(object);          \
            return object;                                                                 \
        }                                                                                  \
    };
