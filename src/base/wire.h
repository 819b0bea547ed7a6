// msgpack shapes of plain structs.
//
//   namespace msgpack { MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) { namespace adaptor {
//   PERIDOTWALK_WIRE(Point, v.x, v.y)
//   }}}

#pragma once

#include <msgpack.hpp>

// Packs a plain struct as an array of its fields.
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
