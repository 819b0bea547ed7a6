#include "peer/peer_internal.h"

#include <fmt/format.h>

#include <utility>

namespace peridotwalk {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kEnvelopeFields = 3;
constexpr std::size_t kMaxNesting = 16;
constexpr std::size_t kMaxElements = 65'536; // Limits the memory that a short frame can allocate.

auto badFrame(std::string_view reason) -> absl::Status
{
    return makeError(absl::StatusCode::kInvalidArgument, "peer.frame", "", reason);
}

// Converts `body` to the alternative of PeerMessage with the given index.
template <std::size_t... Indexes>
auto convertBody(std::size_t wanted, const msgpack::object &body, std::index_sequence<Indexes...>)
    -> PeerMessage
{
    auto       message = PeerMessage();
    const auto convert = [&]<std::size_t Index>() {
        if (wanted == Index) {
            message = body.as<std::variant_alternative_t<Index, PeerMessage>>();
        }
    };
    (convert.template operator()<Indexes>(), ...);
    return message;
}

auto decodePayload(std::string_view payload) -> absl::StatusOr<PeerMessage>
{
    try {
        const auto limit = msgpack::unpack_limit(kMaxElements, kMaxElements, kMaxFrameBytes,
                                                 kMaxFrameBytes, 0, kMaxNesting);
        const auto handle =
            msgpack::unpack(payload.data(), payload.size(), nullptr, nullptr, limit);
        const auto &object = handle.get();
        if (object.type != msgpack::type::ARRAY || object.via.array.size != kEnvelopeFields) {
            return badFrame("not an array of version, message number and fields");
        }
        const auto *fields = object.via.array.ptr;
        const auto  version = fields[0].as<std::int64_t>();
        if (version != kPeerVersion) {
            return badFrame(fmt::format("version {} instead of {}", version, kPeerVersion));
        }
        const auto index = fields[1].as<std::size_t>();
        if (index >= std::variant_size_v<PeerMessage>) {
            return badFrame(fmt::format("unknown message number {}", index));
        }
        return convertBody(index, fields[2],
                           std::make_index_sequence<std::variant_size_v<PeerMessage>>());
    } catch (const std::exception &error) {
        return badFrame(error.what());
    }
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Frames
//-----------------------------------------------------------------------------

auto encodeFrame(const PeerMessage &message) -> std::string
{
    auto buffer = msgpack::sbuffer();
    auto packer = msgpack::packer<msgpack::sbuffer>(buffer);
    packer.pack_array(kEnvelopeFields);
    packer.pack(kPeerVersion);
    packer.pack(message.index());
    std::visit([&](const auto &body) { packer.pack(body); }, message);
    auto frame = writeBigEndian(buffer.size(), kLengthBytes);
    frame.append(buffer.data(), buffer.size());
    return frame;
}

auto FrameDecoder::append(std::string_view bytes) -> void
{
    if (consumed_ > 0) {
        buffer_.erase(0, consumed_);
        consumed_ = 0;
    }
    buffer_.append(bytes);
}

auto FrameDecoder::next() -> absl::StatusOr<std::optional<PeerMessage>>
{
    const auto rest = std::string_view(buffer_).substr(consumed_);
    if (rest.size() < kLengthBytes) {
        return std::nullopt;
    }
    const auto length = readBigEndian(rest.substr(0, kLengthBytes));
    if (length > kMaxFrameBytes) {
        return badFrame(
            fmt::format("a frame of {} bytes is longer than {}", length, kMaxFrameBytes));
    }
    if (rest.size() < kLengthBytes + length) {
        return std::nullopt;
    }
    auto message = decodePayload(rest.substr(kLengthBytes, length));
    if (!message.ok()) {
        return message.status();
    }
    consumed_ += kLengthBytes + length;
    return std::optional(*std::move(message));
}

} // namespace peridotwalk
