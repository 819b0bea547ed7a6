#include "base/base.h"

#include <absl/strings/cord.h>
#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace peridotwalk {

namespace {

constexpr unsigned          kBitsPerByte = 8;
constexpr absl::string_view kStepUrl = "peridotwalk/step";
constexpr absl::string_view kPeerUrl = "peridotwalk/peer";

// Debian builds Abseil with its own string_view type instead of std::string_view.
auto toCord(std::string_view text) -> absl::Cord
{
    return absl::Cord(absl::string_view(text.data(), text.size()));
}

auto payload(const absl::Status &status, absl::string_view url) -> std::string
{
    const auto found = status.GetPayload(url);
    return found ? std::string(*found) : std::string();
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Time and identity
//-----------------------------------------------------------------------------

auto entryName(std::string_view incarnation) -> std::string_view
{
    return incarnation.substr(0, incarnation.find('#'));
}

//-----------------------------------------------------------------------------
// [SECTION] Outcomes and refusals
//-----------------------------------------------------------------------------

auto outcomeName(Outcome outcome) -> std::string_view
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

//-----------------------------------------------------------------------------
// [SECTION] Errors
//-----------------------------------------------------------------------------

auto makeError(absl::StatusCode code, std::string_view step, std::string_view peer,
               std::string_view reason) -> absl::Status
{
    auto status = absl::Status(code, fmt::format("{}: {}: {}", step, peer, reason));
    status.SetPayload(kStepUrl, toCord(step));
    status.SetPayload(kPeerUrl, toCord(peer));
    return status;
}

auto errorStep(const absl::Status &status) -> std::string
{
    return payload(status, kStepUrl);
}

auto errorPeer(const absl::Status &status) -> std::string
{
    return payload(status, kPeerUrl);
}

//-----------------------------------------------------------------------------
// [SECTION] Hashing
//-----------------------------------------------------------------------------

auto hashKey(std::string_view key) -> std::string
{
    auto digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    constexpr std::string_view kHexDigits = "0123456789abcdef";
    auto                       text = std::string();
    text.reserve(2 * digest.size());
    for (const auto byte : digest) {
        text.push_back(kHexDigits[byte >> 4U]);
        text.push_back(kHexDigits[byte & 0xFU]);
    }
    return text;
}

auto equalsConstantTime(std::string_view left, std::string_view right) -> bool
{
    return left.size() == right.size()
        && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

auto stableHash(std::string_view text, std::uint64_t seed) -> std::uint64_t
{
    return XXH64(text.data(), text.size(), seed);
}

//-----------------------------------------------------------------------------
// [SECTION] Text
//-----------------------------------------------------------------------------

auto splitText(std::string_view text, char separator) -> std::vector<std::string_view>
{
    auto parts = std::vector<std::string_view>();
    while (true) {
        const auto end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

auto parseInteger(std::string_view text) -> std::optional<std::int64_t>
{
    auto value = std::int64_t{0};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

auto parseEndpoint(std::string_view address) -> absl::StatusOr<Endpoint>
{
    const auto colon = address.rfind(':');
    const auto host = std::string(address.substr(0, colon));
    const auto port =
        colon == std::string_view::npos ? std::nullopt : parseInteger(address.substr(colon + 1));
    auto           parsed = in_addr{};
    constexpr auto kMaxPort = 65'535;
    const auto     isHost = inet_pton(AF_INET, host.c_str(), &parsed) == 1;
    if (!isHost || !port || *port < 0 || *port > kMaxPort) {
        return makeError(absl::StatusCode::kInvalidArgument, "address", address,
                         "an address is an IPv4 number, a colon and a port");
    }
    return Endpoint{host, static_cast<std::uint16_t>(*port)};
}

//-----------------------------------------------------------------------------
// [SECTION] Bytes
//-----------------------------------------------------------------------------

auto writeBigEndian(std::uint64_t value, std::size_t bytes) -> std::string
{
    auto text = std::string(bytes, '\0');
    for (auto index = bytes; index > 0; --index) {
        text[index - 1] = static_cast<char>(value & 0xFFU);
        value >>= kBitsPerByte;
    }
    return text;
}

auto readBigEndian(std::string_view bytes) -> std::uint64_t
{
    std::uint64_t value = 0;
    for (const auto byte : bytes) {
        value = (value << kBitsPerByte) | static_cast<unsigned char>(byte);
    }
    return value;
}

} // namespace peridotwalk
