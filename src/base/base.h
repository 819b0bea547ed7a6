// Types, errors, hashing and parsing that all libraries of the project use.
//
// Index of this file
// [SECTION] Time and identity
// [SECTION] Outcomes and refusals
// [SECTION] Errors
// [SECTION] Hashing
// [SECTION] Text
// [SECTION] Bytes

#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Time and identity
//-----------------------------------------------------------------------------

using TimeMs = std::int64_t; // Milliseconds, of a monotonic clock unless a name says wall clock.
using Offset = std::int64_t; // Position in the platform's log. The first record has offset 1.

// Identifies an entry from its start to its end. A restarted entry has a new incarnation and no state of
// the previous one. Format: "name#random", for example "entry-1#5f0c2a".
using Incarnation = std::string;

// Returns the name of an entry, which is the part of an incarnation before '#'.
auto entryName(std::string_view incarnation) -> std::string_view;

//-----------------------------------------------------------------------------
// [SECTION] Outcomes and refusals
//-----------------------------------------------------------------------------

// What a reply says about the execution of the request.
enum class Outcome {
    Answered, // The target's complete answer is attached.
    NotRun,   // Nothing was started, and nothing will be. Sending the request again is safe.
    Unknown,  // The request may have run. A request that must not repeat has to be reconciled.
};

// Returns "answered", "not-run" or "unknown".
auto outcomeName(Outcome outcome) -> std::string_view;

// Why a request got no answer from a target.
struct Refusal {
    Outcome     outcome = Outcome::NotRun;
    std::string step = {};        // Where it arose: "key", "limit", "queue", "claim", "start", ...
    std::string peer = {};        // The entry, target or team concerned. May be empty.
    std::string reason = {};      // One sentence for people to read.
    TimeMs      retryAfterMs = 0; // Delay after which a retry may succeed. 0: a retry won't help.
};

//-----------------------------------------------------------------------------
// [SECTION] Errors
//-----------------------------------------------------------------------------

// Returns an error that carries the step in which it occurred and the peer concerned.
//   return makeError(absl::StatusCode::kUnavailable, "log.read", "127.0.0.1:7000", "timeout");
auto makeError(absl::StatusCode code, std::string_view step, std::string_view peer,
               std::string_view reason) -> absl::Status;

// Returns the step given to makeError(), or an empty string.
auto errorStep(const absl::Status &status) -> std::string;

// Returns the peer given to makeError(), or an empty string.
auto errorPeer(const absl::Status &status) -> std::string;

//-----------------------------------------------------------------------------
// [SECTION] Hashing
//-----------------------------------------------------------------------------

// Returns the SHA-256 of a team key as 64 lower-case hexadecimal digits.
auto hashKey(std::string_view key) -> std::string;

// Compares in a time that doesn't reveal where the texts differ.
auto equalsConstantTime(std::string_view left, std::string_view right) -> bool;

// Returns a stable 64-bit hash. Equal on all machines, so it may decide placement.
auto stableHash(std::string_view text, std::uint64_t seed = 0) -> std::uint64_t;

//-----------------------------------------------------------------------------
// [SECTION] Text
//-----------------------------------------------------------------------------

// Splits at each separator. Empty parts are kept.
auto splitText(std::string_view text, char separator) -> std::vector<std::string_view>;

// Parses a decimal integer, which may start with '-'. Returns nothing on any other character or on
// overflow.
auto parseInteger(std::string_view text) -> std::optional<std::int64_t>;

// An IPv4 address and a port.
struct Endpoint {
    std::string   host; // "127.0.0.1"
    std::uint16_t port = 0;
};

// Parses an IPv4 address with a port, such as "127.0.0.1:80". Host names aren't resolved.
auto parseEndpoint(std::string_view address) -> absl::StatusOr<Endpoint>;

//-----------------------------------------------------------------------------
// [SECTION] Bytes
//-----------------------------------------------------------------------------

// Encodes and decodes lengths and offsets in frames, most significant byte first.
auto writeBigEndian(std::uint64_t value, std::size_t bytes) -> std::string;
auto readBigEndian(std::string_view bytes) -> std::uint64_t;

} // namespace peridotwalk
