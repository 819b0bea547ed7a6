#include "http/http_internal.h"

#include <fmt/format.h>

#include <netinet/in.h>
#include <sys/socket.h>

namespace peridotwalk {

namespace {

auto methodName(evhttp_cmd_type method) -> std::string
{
    switch (method) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    default:
        return "OTHER";
    }
}

auto decodePath(evhttp_request *request) -> std::string
{
    const auto *uri = evhttp_request_get_evhttp_uri(request);
    const auto *path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
    auto       *decoded = evhttp_uridecode(path == nullptr ? "/" : path, 0, nullptr);
    auto        result = std::string(decoded == nullptr ? "/" : decoded);
    free(decoded);
    return result;
}

auto decodeQuery(evhttp_request *request) -> std::map<std::string, std::string>
{
    const auto *uri = evhttp_request_get_evhttp_uri(request);
    const auto *query = uri == nullptr ? nullptr : evhttp_uri_get_query(uri);
    auto        parsed = evkeyvalq{};
    if (query == nullptr || evhttp_parse_query_str(query, &parsed) != 0) {
        return {};
    }
    auto result = copyHeaders(&parsed);
    evhttp_clear_headers(&parsed);
    return result;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

// A request without a reply.
struct HttpServer::Exchange {
    HttpServer     *server = nullptr;
    ExchangeId      id = 0;
    evhttp_request *request = nullptr;
};

auto HttpRequest::header(const std::string &name) const -> std::string
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

HttpServer::HttpServer(EventLoop &loop, const HttpServerLimits &limits)
    : http_(evhttp_new(loop.base()))
{
    evhttp_set_max_headers_size(http_, limits.maxHeaderBytes);
    evhttp_set_max_body_size(http_, limits.maxBodyBytes);
    evhttp_set_timeout(http_, limits.timeoutSeconds);
    evhttp_set_allowed_methods(
        http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
    evhttp_set_gencb(http_, onRequest, this);
}

HttpServer::~HttpServer()
{
    for (const auto &[id, exchange] : exchanges_) {
        evhttp_connection_set_closecb(evhttp_request_get_connection(exchange->request), nullptr,
                                      nullptr);
    }
    evhttp_free(http_);
}

auto HttpServer::listen(std::string_view address) -> absl::Status
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint.ok()) {
        return endpoint.status();
    }
    auto *bound = evhttp_bind_socket_with_handle(http_, endpoint->host.c_str(), endpoint->port);
    if (bound == nullptr) {
        return makeError(absl::StatusCode::kUnavailable, "listen", address,
                         "the address can't be bound");
    }
    listener_ = bound;
    auto name = sockaddr_in{};
    auto size = socklen_t{sizeof(name)};
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr *>(&name), &size);
    port_ = ntohs(name.sin_port);
    return absl::OkStatus();
}

auto HttpServer::stopAccepting() -> void
{
    if (listener_ != nullptr) {
        evhttp_del_accept_socket(http_, static_cast<evhttp_bound_socket *>(listener_));
        listener_ = nullptr;
    }
}

auto HttpServer::onRequest(evhttp_request *request, void *self) -> void
{
    auto &server = *static_cast<HttpServer *>(self);
    auto  exchange = std::make_unique<Exchange>();
    exchange->server = &server;
    exchange->id = ++server.lastId_;
    exchange->request = request;
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), onClosed, exchange.get());
    auto arrived = HttpRequest{};
    arrived.id = exchange->id;
    arrived.method = methodName(evhttp_request_get_command(request));
    arrived.path = decodePath(request);
    arrived.query = decodeQuery(request);
    arrived.headers = copyHeaders(evhttp_request_get_input_headers(request));
    arrived.body = drainBuffer(evhttp_request_get_input_buffer(request));
    server.exchanges_.emplace(exchange->id, std::move(exchange));
    server.requestArrived.emit(arrived);
}

auto HttpServer::onClosed(evhttp_connection * /*connection*/, void *exchange) -> void
{
    const auto id = static_cast<Exchange *>(exchange)->id;
    auto      &server = *static_cast<Exchange *>(exchange)->server;
    server.exchanges_.erase(id);
    server.callerDisconnected.emit(id);
}

auto HttpServer::reply(ExchangeId id, const HttpReply &reply) -> void
{
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) {
        return;
    }
    auto *request = found->second->request;
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
    exchanges_.erase(found);
    auto *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", reply.contentType.c_str());
    for (const auto &[name, value] : reply.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), reply.body.data(), reply.body.size());
    evhttp_send_reply(request, reply.status, nullptr, nullptr);
}

} // namespace peridotwalk
