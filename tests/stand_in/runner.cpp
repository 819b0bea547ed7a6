#include "stand_in.h"

namespace peridotwalk {

namespace {

constexpr std::size_t kSlots = 8;

auto bodyOf(const HttpRequest &request) -> Json
{
    auto json = Json::parse(request.body, nullptr, false);
    return json.is_object() ? json : Json::object();
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Runner
//-----------------------------------------------------------------------------

RunnerStandIn::RunnerStandIn(EventLoop &loop, std::string name)
    : loop_(loop), name_(std::move(name)), server_(loop, {65'536, 16'777'216, 3'600})
{
    server_.requestArrived.connect([this](const HttpRequest &request) { onRequest(request); });
}

auto RunnerStandIn::onRequest(const HttpRequest &request) -> void
{
    if (request.method == "GET" && request.path == "/journal") {
        server_.reply(request.id, jsonReply(journal_));
    } else if (request.path == "/control") {
        hangs_ = bodyOf(request).value("hang", hangs_);
        server_.reply(request.id, jsonReply({{"ok", true}}));
    } else if (request.method == "GET") {
        server_.reply(request.id, jsonReply({{"ok", true}}));
    } else {
        waiting_.push_back(request);
        startNext();
    }
}

auto RunnerStandIn::startNext() -> void
{
    if (waiting_.empty() || running_ >= kSlots) {
        return;
    }
    auto request = std::move(waiting_.front());
    waiting_.pop_front();
    ++running_;
    const auto body = bodyOf(request);
    const auto index = journal_.size();
    journal_.push_back({{"id", request.header("peridot-request-id")},
                        {"team", body.value("team", "")},
                        {"start_ms", monotonicMs()},
                        {"end_ms", nullptr}});
    if (hangs_) {
        return;
    }
    loop_.post(
        [this, request = std::move(request), index] {
            journal_[index]["end_ms"] = monotonicMs();
            finish(request);
        },
        body.value("ms", 10));
}

auto RunnerStandIn::finish(const HttpRequest &request) -> void
{
    server_.reply(request.id,
                  jsonReply({{"runner", name_}, {"id", request.header("peridot-request-id")}}));
    --running_;
    startNext();
}

} // namespace peridotwalk
