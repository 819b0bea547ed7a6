// Reads settings in JSON whole: every error is named with its path, unknown keys too.
//
//   auto reader = ObjectReader(json, "", errors);
//   reader.name("name", settings.name);
//
// Index of this file
// [SECTION] Errors
// [SECTION] Object reader

#pragma once

#include "http/http.h"

#include <nlohmann/json.hpp>

#include <set>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Errors
//-----------------------------------------------------------------------------

// A place in the settings that can't be taken.
struct SettingsError {
    std::string path; // "/listen/callers"
    std::string reason;
};

// Parses a text and passes its root on. What isn't JSON, or is too large, becomes an error.
auto readSettingsText(std::string_view text, std::vector<SettingsError> &errors,
                      const std::function<void(const nlohmann::json &)> &read) -> void;

//-----------------------------------------------------------------------------
// [SECTION] Object reader
//-----------------------------------------------------------------------------

// Reads one JSON object. Notes every error with its path, and keys that nobody asked for.
class ObjectReader
{
public:
    ObjectReader(const nlohmann::json &parent, std::string path,
                 std::vector<SettingsError> &errors);
    ~ObjectReader();
    ObjectReader(const ObjectReader &) = delete;
    auto operator=(const ObjectReader &) -> ObjectReader & = delete;

    // Required.
    auto name(const std::string &key, std::string &target) -> void;
    auto address(const std::string &key, std::string &target) -> void;

    // Optional: the target keeps its default.
    auto optionalAddress(const std::string &key, std::string &target) -> void; // "" is none.
    auto addresses(const std::string &key, std::vector<std::string> &target) -> void;
    auto fraction(const std::string &key, double &target) -> void;
    auto text(const std::string &key, std::string &target) -> void;
    template <typename Number>
    auto integer(const std::string &key, Number &target, std::int64_t low, std::int64_t high)
        -> void
    {
        if (const auto value = readInteger(key, low, high)) {
            target = static_cast<Number>(*value);
        }
    }

    auto child(const std::string &key, bool isRequired) -> nlohmann::json;
    auto pathOf(const std::string &key) const -> std::string;
    auto fail(const std::string &key, std::string reason) -> void;

private:
    auto optional(const std::string &key) -> const nlohmann::json *;
    auto required(const std::string &key) -> const nlohmann::json *;
    auto readAddress(const std::string &key, const nlohmann::json &value, std::string &target)
        -> void;
    auto readInteger(const std::string &key, std::int64_t low, std::int64_t high)
        -> std::optional<std::int64_t>;

    nlohmann::json              object_;
    std::string                 path_;
    std::vector<SettingsError> &errors_;
    std::set<std::string>       used_;
};

} // namespace peridotwalk
