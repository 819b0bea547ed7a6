#include "logservice/logservice.h"

#include "http/json_call.h"

namespace peridotwalk {

namespace {

constexpr auto kMaxRecordsPerRead = 500;
constexpr auto kHttpOk = 200;

// Checks the status of an answer and converts its body with `read`, which may throw a Json::exception.
template <typename Value, typename Read>
auto parseAnswer(std::string_view step, const std::string &address, const HttpResult &result,
                 const Read &read) -> absl::StatusOr<Value>
{
    if (!result.isComplete || result.status != kHttpOk) {
        return callFailure(step, address, result);
    }
    return parseBody<Value>(step, address, result.body, read);
}

auto readPage(const Json &json) -> LogPage
{
    auto page = LogPage{};
    json.at("after").get_to(page.after);
    for (const auto &entry : json.at("records")) {
        page.entries.push_back(
            {entry.at("offset").get<std::int64_t>(), entry.at("text").get<std::string>()});
    }
    return page;
}

auto readState(const std::string &name) -> InstanceState
{
    if (name == "leaving") {
        return InstanceState::Leaving;
    }
    return name == "gone" ? InstanceState::Terminated : InstanceState::Live;
}

auto readInstances(const Json &json) -> std::vector<InstanceEntry>
{
    auto entries = std::vector<InstanceEntry>();
    for (const auto &entry : json.at("instances")) {
        entries.push_back({entry.at("name").get<std::string>(), entry.value("address", ""),
                           readState(entry.at("state").get<std::string>())});
    }
    return entries;
}

class HttpLogService final : public LogService
{
public:
    HttpLogService(ConnectionPool &pool, std::string address, TimeMs timeoutMs)
        : pool_(pool), address_(std::move(address)), timeoutMs_(timeoutMs)
    {
    }

    auto read(std::int64_t from, PageSlot slot) -> void override
    {
        auto call = HttpCall{};
        call.path = fmt::format("/records?from={}&max={}", from, kMaxRecordsPerRead);
        call.timeoutMs = timeoutMs_;
        pool_.request(address_, call,
                      [address = address_, slot = std::move(slot)](const HttpResult &result) {
                          slot(parseAnswer<LogPage>("log.read", address, result, readPage));
                      });
    }

    auto append(const std::string &text, AppendSlot slot) -> void override
    {
        auto call = HttpCall{"POST", "/records", {}, text, timeoutMs_};
        pool_.request(
            address_, call, [address = address_, slot = std::move(slot)](const HttpResult &result) {
                slot(parseAnswer<std::int64_t>("log.append", address, result, [](const Json &json) {
                    return json.at("offset").get<std::int64_t>();
                }));
            });
    }

private:
    ConnectionPool &pool_;
    std::string     address_;
    TimeMs          timeoutMs_;
};

class HttpInstanceList final : public InstanceList
{
public:
    HttpInstanceList(ConnectionPool &pool, std::string address, TimeMs timeoutMs)
        : pool_(pool), address_(std::move(address)), timeoutMs_(timeoutMs)
    {
    }

    auto list(ListSlot slot) -> void override
    {
        auto call = HttpCall{};
        call.path = "/instances";
        call.timeoutMs = timeoutMs_;
        pool_.request(address_, call,
                      [address = address_, slot = std::move(slot)](const HttpResult &result) {
                          slot(parseAnswer<std::vector<InstanceEntry>>("instances.list", address,
                                                                       result, readInstances));
                      });
    }

private:
    ConnectionPool &pool_;
    std::string     address_;
    TimeMs          timeoutMs_;
};

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Clients over HTTP
//-----------------------------------------------------------------------------

auto makeHttpLogService(ConnectionPool &pool, std::string address, TimeMs timeoutMs)
    -> std::unique_ptr<LogService>
{
    return std::make_unique<HttpLogService>(pool, std::move(address), timeoutMs);
}

auto makeHttpInstanceList(ConnectionPool &pool, std::string address, TimeMs timeoutMs)
    -> std::unique_ptr<InstanceList>
{
    return std::make_unique<HttpInstanceList>(pool, std::move(address), timeoutMs);
}

} // namespace peridotwalk
