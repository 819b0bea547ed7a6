// Helpers around evhttp. Only for the sources of this library.

#pragma once

#include "http/http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>

namespace peridotwalk {

// Priorities of a loop's events. By default they have the middle one, which is kNormalPriority.
constexpr int kPriorities = 2;
constexpr int kUrgentPriority = 0;
constexpr int kNormalPriority = 1;

inline auto toTimeval(TimeMs ms) -> timeval
{
    constexpr TimeMs kMsPerSecond = 1'000;
    return {static_cast<time_t>(ms / kMsPerSecond),
            static_cast<suseconds_t>(ms % kMsPerSecond * kMsPerSecond)};
}

// Copies headers, with names in lower case.
inline auto copyHeaders(const evkeyvalq *headers) -> std::map<std::string, std::string>
{
    auto copied = std::map<std::string, std::string>();
    for (const auto *header = headers->tqh_first; header != nullptr;
         header = header->next.tqe_next) {
        auto name = std::string(header->key);
        std::ranges::transform(name, name.begin(),
                               [](unsigned char letter) { return std::tolower(letter); });
        copied[std::move(name)] = header->value;
    }
    return copied;
}

// Moves all bytes out of a buffer.
inline auto drainBuffer(evbuffer *buffer) -> std::string
{
    auto bytes = std::string(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, bytes.data(), bytes.size());
    return bytes;
}

} // namespace peridotwalk
