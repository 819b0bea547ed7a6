#include "stand_in.h"

namespace peridotwalk {

auto jsonReply(const Json &json, int status) -> HttpReply
{
    return {status, "application/json", json.dump(), {}};
}

//-----------------------------------------------------------------------------
// [SECTION] Platform
//-----------------------------------------------------------------------------

PlatformStandIn::PlatformStandIn(EventLoop &loop) : server_(loop, {65'536, 16'777'216, 3'600})
{
    server_.requestArrived.connect([this](const HttpRequest &request) { onRequest(request); });
}

auto PlatformStandIn::onRequest(const HttpRequest &request) -> void
{
    const auto isRecords = request.path == "/records";
    if (isRecords && isLogDown_) {
        server_.reply(request.id, jsonReply({{"error", "down"}}, 503));
    } else if (isRecords && request.method == "GET") {
        server_.reply(request.id, read(request));
    } else if (isRecords) {
        const auto reply = append(request);
        server_.reply(request.id,
                      losesAppendAnswers_ ? jsonReply({{"error", "lost"}}, 503) : reply);
    } else if (request.path == "/instances") {
        auto list = Json::array();
        for (const auto &[name, instance] : instances_) {
            list.push_back(instance);
        }
        server_.reply(request.id, jsonReply({{"instances", list}}));
    } else if (request.path == "/control") {
        server_.reply(request.id, control(request));
    } else {
        server_.reply(request.id, jsonReply({{"ok", true}}));
    }
}

auto PlatformStandIn::read(const HttpRequest &request) -> HttpReply
{
    const auto from = parseInteger(request.query.at("from")).value_or(1);
    const auto max = parseInteger(request.query.at("max")).value_or(1);
    const auto first = std::max(from, firstOffset_);
    const auto end = firstOffset_ + static_cast<std::int64_t>(records_.size());
    auto       records = Json::array();
    for (auto offset = first; offset < std::min(end, first + max); ++offset) {
        records.push_back({{"offset", offset},
                           {"text", records_[static_cast<std::size_t>(offset - firstOffset_)]}});
    }
    return jsonReply({{"after", first - 1}, {"records", records}});
}

auto PlatformStandIn::append(const HttpRequest &request) -> HttpReply
{
    records_.push_back(request.body);
    while (records_.size() > keepRecords_) {
        records_.pop_front();
        ++firstOffset_;
    }
    return jsonReply({{"offset", firstOffset_ + static_cast<std::int64_t>(records_.size()) - 1}});
}

auto PlatformStandIn::control(const HttpRequest &request) -> HttpReply
{
    const auto json = Json::parse(request.body);
    isLogDown_ = json.value("log_down", isLogDown_);
    losesAppendAnswers_ = json.value("lose_append_answers", losesAppendAnswers_);
    keepRecords_ = json.value("keep_records", keepRecords_);
    if (json.contains("instance")) {
        instances_[json["instance"]["name"].get<std::string>()] = json["instance"];
    }
    return jsonReply({{"ok", true}});
}

} // namespace peridotwalk
