// Calls with JSON bodies, and errors of such calls.

#pragma once

#include "http/http.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace peridotwalk {

using Json = nlohmann::json;

// Returns the error for a call without a complete answer or with an unexpected status.
inline auto callFailure(std::string_view step, const std::string &peer, const HttpResult &result)
    -> absl::Status
{
    const auto reason = result.isComplete ? fmt::format("status {}", result.status) : result.error;
    return makeError(absl::StatusCode::kUnavailable, step, peer, reason);
}

// Parses a body and converts it with `read`, which may throw a Json::exception.
template <typename Value, typename Read>
auto parseBody(std::string_view step, const std::string &peer, std::string_view body,
               const Read &read) -> absl::StatusOr<Value>
{
    try {
        return read(Json::parse(body));
    } catch (const Json::exception &error) {
        return makeError(absl::StatusCode::kInvalidArgument, step, peer, error.what());
    }
}

// Returns JSON on one line. Invalid UTF-8 is replaced.
inline auto dumpJson(const Json &json) -> std::string
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

inline auto postJson(std::string path, const Json &body, TimeMs timeoutMs) -> HttpCall
{
    return {
        "POST", std::move(path), {{"Content-Type", "application/json"}}, dumpJson(body), timeoutMs};
}

} // namespace peridotwalk
