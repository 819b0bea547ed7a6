// Reads settings in JSON. Reports all errors, each with its JSON path; an unknown key is an error.
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

// An invalid setting.
struct SettingsError {
    std::string path; // "/listen/callers". Empty: the whole text.
    std::string reason;
};

// Parses a text and calls `read` with its root. Adds an error if it isn't JSON or is too large.
auto readSettingsText(std::string_view text, std::vector<SettingsError> &errors,
                      const std::function<void(const nlohmann::json &)> &read) -> void;

//-----------------------------------------------------------------------------
// [SECTION] Object reader
//-----------------------------------------------------------------------------

// Reads the members of one JSON object. Appends each error to `errors`; the destructor adds one for
// each key that wasn't read.
class ObjectReader
{
public:
    ObjectReader(const nlohmann::json &parent, std::string path,
                 std::vector<SettingsError> &errors);
    ~ObjectReader();
    ObjectReader(const ObjectReader &) = delete;
    auto operator=(const ObjectReader &) -> ObjectReader & = delete;

    // Required: a missing key is an error.
    auto name(const std::string &key, std::string &target) -> void; // No blanks, '#' or '/'.
    auto address(const std::string &key, std::string &target) -> void;

    // Optional: if the key is missing, the target keeps its value. Bounds are inclusive.
    auto optionalAddress(const std::string &key, std::string &target) -> void; // "": missing.
    auto addresses(const std::string &key, std::vector<std::string> &target) -> void;
    auto fraction(const std::string &key, double &target) -> void; // 0 to 1.
    auto number(const std::string &key, double &target, double low, double high) -> void;
    auto flag(const std::string &key, bool &target) -> void;
    auto text(const std::string &key, std::string &target) -> void;
    template <typename Number>
    auto integer(const std::string &key, Number &target, std::int64_t low, std::int64_t high)
        -> void
    {
        if (const auto value = readInteger(key, low, high)) {
            target = static_cast<Number>(*value);
        }
    }

    // Returns the value of a key for another reader, or an empty object if it is missing.
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
    std::set<std::string>       readKeys_;
};

} // namespace peridotwalk
