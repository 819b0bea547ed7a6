// Calls with JSON bodies, and errors of such calls.

#pragma once

#include "http/http.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace peridotwalk {

using Json = nlohmann::json;

// Returns the error for a call without a complete answer or with an unexpected status.
inline auto callFailure(std::string_view step, const std::string &peer, const HttpResult &result)
    -> absl::Status
{
    const auto reason = result.isComplete ? fmt::format("status {}", result.status) : result.error;
    return makeError(absl::StatusCode::kUnavailable, step, peer, reason);
}

// Levels of nesting that a body may have. The JSON library copies values recursively.
constexpr int kMaxJsonDepth = 64;

// Returns whether the text nests arrays and objects deeper than kMaxJsonDepth.
inline auto isNestedTooDeep(std::string_view text) -> bool
{
    auto depth = 0;
    auto isInString = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const auto letter = text[at];
        if (isInString) {
            at += letter == '\\' ? 1 : 0;
            isInString = letter != '"';
        } else if (letter == '"') {
            isInString = true;
        } else if (letter == '[' || letter == '{') {
            if (++depth > kMaxJsonDepth) {
                return true;
            }
        } else if (letter == ']' || letter == '}') {
            --depth;
        }
    }
    return false;
}

// Throws a Json::exception, for a reason that the library doesn't check.
[[noreturn]] inline auto failJson(const std::string &reason) -> void
{
    constexpr int kReasonError = 501; // Error id for Json::other_error::create().
    throw Json::other_error::create(kReasonError, reason, nullptr);
}

inline auto failUnlessOk(const absl::Status &status) -> void
{
    if (!status.ok()) {
        failJson(std::string(status.message()));
    }
}

// Returns a number as an integer, without its fraction. Throws a Json::exception if it is no number or out
// of range; the library would convert it to any value.
inline auto readInteger(const Json &value) -> std::int64_t
{
    constexpr auto kMaxExact = 9'007'199'254'740'992.0; // 2^53.
    if (value.is_number_float()) {
        const auto number = value.get<double>();
        if (!(number >= -kMaxExact && number <= kMaxExact)) {
            failJson("a number is out of range");
        }
        return static_cast<std::int64_t>(number);
    }
    if (value.is_number_unsigned()
        && value.get<std::uint64_t>() > std::numeric_limits<std::int64_t>::max()) {
        failJson("a number is out of range");
    }
    return value.get<std::int64_t>();
}

inline auto readInteger(const Json &object, const char *name, std::int64_t fallback) -> std::int64_t
{
    if (!object.is_object()) {
        failJson("an object is expected");
    }
    const auto found = object.find(name);
    return found == object.end() ? fallback : readInteger(*found);
}

// Parses a body and converts it with `read`, which may throw a Json::exception.
template <typename Value, typename Read>
auto parseBody(std::string_view step, const std::string &peer, std::string_view body,
               const Read &read) -> absl::StatusOr<Value>
{
    if (isNestedTooDeep(body)) {
        return makeError(absl::StatusCode::kInvalidArgument, step, peer,
                         fmt::format("nested deeper than {} levels", kMaxJsonDepth));
    }
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

// Returns a text as JSON.
inline auto quoteJson(std::string_view text) -> std::string
{
    const auto isPlain = [](char letter) {
        return letter >= ' ' && letter <= '~' && letter != '"' && letter != '\\';
    };
    return std::ranges::all_of(text, isPlain) ? fmt::format("\"{}\"", text) : dumpJson(text);
}

inline auto postJsonText(std::string path, std::string body, TimeMs timeoutMs) -> HttpCall
{
    auto call = HttpCall{"POST", std::move(path), {}, std::move(body), timeoutMs};
    call.headers["Content-Type"] = "application/json";
    call.areHeadersWanted = false;
    return call;
}

inline auto postJson(std::string path, const Json &body, TimeMs timeoutMs) -> HttpCall
{
    return postJsonText(std::move(path), dumpJson(body), timeoutMs);
}

} // namespace peridotwalk
