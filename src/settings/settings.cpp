#include "settings/settings.h"

#include <fmt/format.h>

namespace peridotwalk {

namespace {

constexpr std::size_t kMaxSettingsBytes = 1'048'576;
constexpr std::size_t kMaxNameBytes = 64;

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Errors
//-----------------------------------------------------------------------------

auto readSettingsText(std::string_view text, std::vector<SettingsError> &errors,
                      const std::function<void(const nlohmann::json &)> &read) -> void
{
    if (text.size() > kMaxSettingsBytes) {
        errors.push_back({"", "the settings are too large"});
        return;
    }
    try {
        read(nlohmann::json::parse(text));
    } catch (const nlohmann::json::exception &error) {
        errors.push_back({"", error.what()});
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Object reader
//-----------------------------------------------------------------------------

ObjectReader::ObjectReader(const nlohmann::json &parent, std::string path,
                           std::vector<SettingsError> &errors)
    : object_(parent.is_object() ? parent : nlohmann::json::object()), path_(std::move(path)),
      errors_(errors)
{
    if (!parent.is_object()) {
        fail("", "takes an object");
    }
}

ObjectReader::~ObjectReader()
{
    for (const auto &[key, value] : object_.items()) {
        if (!readKeys_.contains(key)) {
            fail(key, "is unknown");
        }
    }
}

auto ObjectReader::name(const std::string &key, std::string &target) -> void
{
    const auto *value = required(key);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string() || value->get<std::string>().empty()
        || value->get<std::string>().size() > kMaxNameBytes
        || value->get<std::string>().find_first_of("#/ \t\n") != std::string::npos) {
        fail(key, "takes a name without blanks, '#' or '/'");
        return;
    }
    value->get_to(target);
}

auto ObjectReader::address(const std::string &key, std::string &target) -> void
{
    const auto *value = required(key);
    if (value != nullptr) {
        readAddress(key, *value, target);
    }
}

auto ObjectReader::addresses(const std::string &key, std::vector<std::string> &target) -> void
{
    const auto *value = optional(key);
    if (value == nullptr) {
        return;
    }
    if (!value->is_array()) {
        fail(key, "takes an array of addresses");
        return;
    }
    for (std::size_t index = 0; index < value->size(); ++index) {
        auto text = std::string();
        readAddress(fmt::format("{}/{}", key, index), (*value)[index], text);
        target.push_back(std::move(text));
    }
}

auto ObjectReader::readInteger(const std::string &key, std::int64_t low, std::int64_t high)
    -> std::optional<std::int64_t>
{
    const auto *value = optional(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    const auto isInRange = value->is_number_integer() && value->get<std::int64_t>() >= low
        && value->get<std::int64_t>() <= high;
    if (!isInRange) {
        fail(key, fmt::format("takes a whole number from {} to {}", low, high));
        return std::nullopt;
    }
    return value->get<std::int64_t>();
}

auto ObjectReader::optionalAddress(const std::string &key, std::string &target) -> void
{
    const auto *value = optional(key);
    const auto  isEmpty =
        value == nullptr || (value->is_string() && value->get<std::string>().empty());
    if (!isEmpty) {
        readAddress(key, *value, target);
    }
}

auto ObjectReader::number(const std::string &key, double &target, double low, double high) -> void
{
    const auto *value = optional(key);
    if (value == nullptr) {
        return;
    }
    if (!value->is_number() || value->get<double>() < low || value->get<double>() > high) {
        fail(key, fmt::format("takes a number from {} to {}", low, high));
        return;
    }
    value->get_to(target);
}

auto ObjectReader::fraction(const std::string &key, double &target) -> void
{
    number(key, target, 0, 1);
}

auto ObjectReader::flag(const std::string &key, bool &target) -> void
{
    const auto *value = optional(key);
    if (value != nullptr && value->is_boolean()) {
        value->get_to(target);
    } else if (value != nullptr) {
        fail(key, "takes true or false");
    }
}

auto ObjectReader::text(const std::string &key, std::string &target) -> void
{
    const auto *value = optional(key);
    if (value != nullptr && value->is_string()) {
        value->get_to(target);
    } else if (value != nullptr) {
        fail(key, "takes a string");
    }
}

auto ObjectReader::child(const std::string &key, bool isRequired) -> nlohmann::json
{
    const auto *value = isRequired ? required(key) : optional(key);
    return value == nullptr ? nlohmann::json::object() : *value;
}

auto ObjectReader::pathOf(const std::string &key) const -> std::string
{
    return fmt::format("{}/{}", path_, key);
}

auto ObjectReader::fail(const std::string &key, std::string reason) -> void
{
    errors_.push_back({key.empty() ? path_ : pathOf(key), std::move(reason)});
}

auto ObjectReader::optional(const std::string &key) -> const nlohmann::json *
{
    readKeys_.insert(key);
    const auto found = object_.find(key);
    return found == object_.end() ? nullptr : &*found;
}

auto ObjectReader::required(const std::string &key) -> const nlohmann::json *
{
    const auto *value = optional(key);
    if (value == nullptr) {
        fail(key, "is missing");
    }
    return value;
}

auto ObjectReader::readAddress(const std::string &key, const nlohmann::json &value,
                               std::string &target) -> void
{
    if (!value.is_string() || !parseEndpoint(value.get<std::string>()).ok()) {
        fail(key, "takes an IPv4 number, a colon and a port, as in \"127.0.0.1:8100\"");
        return;
    }
    value.get_to(target);
}

} // namespace peridotwalk
