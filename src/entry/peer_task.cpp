#include "entry/entry_internal.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glog/logging.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>

namespace peridotwalk {

namespace {

constexpr TimeMs      kReconnectMs = 200;
constexpr std::size_t kMaxUnsentBytes = 33'554'432; // A peer that reads too slowly is disconnected.
constexpr std::size_t kMaxIncomingLinks = 1'000;

auto toSocketAddress(const Endpoint &endpoint) -> sockaddr_in
{
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
    return address;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Peer task
//-----------------------------------------------------------------------------

// One TCP connection with a peer. Its first message is a Hello in each direction.
class PeerLink
{
public:
    PeerLink(PeerTask &task, int socket, std::string address)
        : task_(task), address_(std::move(address)),
          events_(bufferevent_socket_new(task.loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE))
    {
        bufferevent_setcb(events_, onRead, nullptr, onEvent, this);
        bufferevent_enable(events_, EV_READ | EV_WRITE);
        if (socket >= 0) {
            sendHello();
        }
    }

    ~PeerLink() { bufferevent_free(events_); }
    PeerLink(const PeerLink &) = delete;
    auto operator=(const PeerLink &) -> PeerLink & = delete;

    auto connect() -> void
    {
        const auto endpoint = parseEndpoint(address_);
        auto       name = toSocketAddress(*endpoint);
        const auto failed =
            bufferevent_socket_connect(events_, reinterpret_cast<sockaddr *>(&name), sizeof(name));
        isClosed_ = isClosed_ || failed != 0;
    }

    auto send(const PeerMessage &message) -> void
    {
        const auto frame = encodeFrame(message);
        auto      *output = bufferevent_get_output(events_);
        if (evbuffer_get_length(output) + frame.size() > kMaxUnsentBytes) {
            LOG(WARNING) << "peer " << peer_ << ": reads too slowly; closing the connection";
            isClosed_ = true;
            return;
        }
        evbuffer_add(output, frame.data(), frame.size());
    }

    auto address() const -> const std::string & { return address_; }
    auto isOutgoing() const -> bool { return !address_.empty(); }
    auto isClosed() const -> bool { return isClosed_; }
    auto peer() const -> const Incarnation & { return peer_; }

private:
    auto sendHello() -> void
    {
        const auto isEnabled = 1;
        setsockopt(bufferevent_getfd(events_), IPPROTO_TCP, TCP_NODELAY, &isEnabled,
                   sizeof(isEnabled));
        send(Hello{task_.self_, task_.settings_.zone, task_.settings_.peersAddress});
    }

    auto receive(PeerMessage message) -> void
    {
        if (const auto *hello = std::get_if<Hello>(&message)) {
            peer_ = hello->incarnation;
            task_.onLinkHello(*this, *hello);
            return;
        }
        if (peer_.empty()) {
            LOG(WARNING) << "peer: a message arrived before Hello; closing the connection";
            isClosed_ = true;
            return;
        }
        task_.decisions_.handle(
            [&](Engine &engine, Now now) { engine.onPeerMessage(now, peer_, std::move(message)); });
    }

    static auto onRead(bufferevent *events, void *self) -> void
    {
        auto &link = *static_cast<PeerLink *>(self);
        auto *input = bufferevent_get_input(events);
        auto  bytes = std::string(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        link.decoder_.append(bytes);
        while (!link.isClosed_) {
            auto next = link.decoder_.next();
            if (!next.ok()) {
                LOG(WARNING) << "peer " << link.peer_ << ": " << next.status();
                link.isClosed_ = true;
                return;
            }
            if (!*next) {
                return;
            }
            link.receive(std::move(**next));
        }
    }

    static auto onEvent(bufferevent * /*events*/, short what, void *self) -> void
    {
        auto &link = *static_cast<PeerLink *>(self);
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            link.sendHello();
        }
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            link.isClosed_ = true;
            link.task_.onLinkClosed(link);
        }
    }

    PeerTask    &task_;
    std::string  address_; // The peer's address. Empty: the peer made the connection.
    bufferevent *events_;
    FrameDecoder decoder_;
    Incarnation  peer_; // Empty until the peer's Hello.
    bool         isClosed_ = false;
};

PeerTask::PeerTask(EventLoop &loop, const EntrySettings &settings, Incarnation incarnation,
                   DecisionTask &decisions)
    : loop_(loop), settings_(settings), self_(std::move(incarnation)), decisions_(decisions),
      addresses_(settings.peers.begin(), settings.peers.end()),
      connectTimer_(std::make_unique<Timer>(loop, kReconnectMs, [this] { connectMissing(); }))
{
}

PeerTask::~PeerTask()
{
    if (listener_ != nullptr) {
        evconnlistener_free(listener_);
    }
}

auto PeerTask::listen() -> absl::Status
{
    const auto endpoint = parseEndpoint(settings_.peersAddress);
    auto       address = toSocketAddress(*endpoint);
    listener_ = evconnlistener_new_bind(loop_.base(), onAccept, this,
                                        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                        reinterpret_cast<sockaddr *>(&address), sizeof(address));
    if (listener_ == nullptr) {
        return makeError(absl::StatusCode::kUnavailable, "listen", settings_.peersAddress,
                         "the address can't be bound");
    }
    return absl::OkStatus();
}

auto PeerTask::onAccept(evconnlistener * /*listener*/, int socket, sockaddr * /*address*/,
                        int /*length*/, void              *self) -> void
{
    auto &task = *static_cast<PeerTask *>(self);
    if (task.incoming_.size() >= kMaxIncomingLinks) {
        evutil_closesocket(socket);
        return;
    }
    task.incoming_.push_back(std::make_unique<PeerLink>(task, socket, ""));
}

auto PeerTask::setPeers(const SetPeers &peers) -> void
{
    addresses_.clear();
    addresses_.insert(settings_.peers.begin(), settings_.peers.end());
    addresses_.insert(peers.addresses.begin(), peers.addresses.end());
    addresses_.erase(settings_.peersAddress);
}

auto PeerTask::connectMissing() -> void
{
    std::erase_if(incoming_, [](const auto &link) { return link->isClosed(); });
    for (auto &[address, link] : outgoing_) {
        if (link->isClosed()) {
            onLinkClosed(*link);
        }
    }
    std::erase_if(outgoing_, [&](const auto &entry) {
        return entry.second->isClosed() || !addresses_.contains(entry.first);
    });
    for (const auto &address : addresses_) {
        if (address != settings_.peersAddress && !outgoing_.contains(address)) {
            auto &link = outgoing_[address];
            link = std::make_unique<PeerLink>(*this, -1, address);
            link->connect();
        }
    }
}

auto PeerTask::onLinkHello(PeerLink &link, const Hello &hello) -> void
{
    if (!link.isOutgoing()) {
        return;
    }
    linkByPeer_[hello.incarnation] = &link;
    decisions_.handle([&](Engine &engine, Now now) { engine.onPeerUp(now, hello.incarnation); });
}

auto PeerTask::onLinkClosed(PeerLink &link) -> void
{
    const auto found = linkByPeer_.find(link.peer());
    if (found == linkByPeer_.end() || found->second != &link) {
        return;
    }
    linkByPeer_.erase(found);
    decisions_.handle([&](Engine &engine, Now now) { engine.onPeerDown(now, link.peer()); });
}

auto PeerTask::send(const SendPeer &message) -> void
{
    const auto found = linkByPeer_.find(message.to);
    if (found != linkByPeer_.end()) {
        found->second->send(message.message);
    }
}

} // namespace peridotwalk
