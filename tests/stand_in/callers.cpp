#include "stand_in.h"

#include <fmt/format.h>
#include <pcg_random.hpp>

#include <iostream>

namespace peridotwalk {

namespace {

constexpr std::uint64_t kSeed = 20'261'204;

auto makeUuid7(pcg32 &random) -> std::string
{
    const auto now = static_cast<std::uint64_t>(wallMs());
    return fmt::format("{:08x}-{:04x}-7{:03x}-a{:03x}-{:012x}", now >> 16U, now & 0xFFFFU,
                       random() & 0xFFFU, random() & 0xFFFU,
                       ((static_cast<std::uint64_t>(random()) << 32U) | random())
                           & 0xFFFF'FFFF'FFFFU);
}

// Sends requests at a constant rate and counts the outcomes.
class Callers
{
public:
    explicit Callers(const CallerPlan &plan)
        : plan_(plan), pool_(loop_, callerLimits()), random_(kSeed),
          timer_(loop_, std::max<TimeMs>(1, 1'000 / plan.perSecond), [this] { onTimer(); }),
          endAt_(monotonicMs() + plan.durationMs)
    {
    }

    auto run() -> Json
    {
        loop_.run();
        return {{"sent", sent_},
                {"answered", answered_},
                {"refused_not_run", notRun_},
                {"unknown", unknown_},
                {"lost", lost_},
                {"mismatched", mismatched_},
                {"answered_ids", answeredIds_},
                {"not_run_ids", notRunIds_}};
    }

private:
    static auto callerLimits() -> ConnectionPoolLimits
    {
        auto limits = ConnectionPoolLimits{};
        limits.maxPerAddress = 2'000;
        return limits;
    }

    auto onTimer() -> void
    {
        if (monotonicMs() >= endAt_) {
            if (outstanding_ == 0) {
                loop_.stop();
            }
            return;
        }
        ++number_;
        const auto isOrder = plan_.requestsPerOrder > 0 && number_ % plan_.requestsPerOrder == 0;
        const auto uuid = makeUuid7(random_);
        if (!isOrder) {
            send(plan_.repeatableService, "quick." + uuid, true, pickEntry());
            return;
        }
        // Like a caller that retries too early: the order is sent twice, to different entries.
        const auto id = fmt::format("{}/{}", plan_.zones[random_(plan_.zones.size())], uuid);
        const auto first = pickEntry();
        send(plan_.orderService, id, false, first);
        send(plan_.orderService, id, false, (first + 1) % plan_.entries.size());
    }

    auto pickEntry() -> std::size_t
    {
        return random_(static_cast<std::uint32_t>(plan_.entries.size()));
    }

    auto send(const std::string &service, const std::string &id, bool isRepeatable,
              std::size_t entry, int tries = 0) -> void
    {
        const auto team = number_ % static_cast<std::int64_t>(plan_.keys.size());
        auto call = HttpCall{"POST", "/v1/services/" + service, {}, {}, plan_.deadlineMs + 2'000};
        call.headers["Peridot-Key"] = plan_.keys[static_cast<std::size_t>(team)];
        call.headers["Peridot-Request-Id"] = id;
        call.headers["Peridot-Repeatable"] = isRepeatable ? "yes" : "no";
        call.headers["Peridot-Deadline-Ms"] = std::to_string(plan_.deadlineMs);
        call.body = Json{{"ms", plan_.serviceMs}, {"team", fmt::format("team-{}", team)}}.dump();
        sent_ += tries == 0 ? 1 : 0;
        ++outstanding_;
        pool_.request(plan_.entries[entry], call, [=, this](const HttpResult &result) {
            --outstanding_;
            if (!result.isComplete && !result.isWritten && tries < 5) {
                // Like a load balancer in front of the entries: retry with the next one.
                send(service, id, isRepeatable, (entry + 1) % plan_.entries.size(), tries + 1);
                return;
            }
            count(id, result);
        });
    }

    auto count(const std::string &id, const HttpResult &result) -> void
    {
        const auto found = result.headers.find("peridot-outcome");
        const auto outcome = found == result.headers.end() ? std::string() : found->second;
        if (outcome == "answered") {
            ++answered_;
            answeredIds_.push_back(id);
            const auto json = Json::parse(result.body, nullptr, false);
            mismatched_ += json.is_object() && json.value("id", "") == id ? 0 : 1;
        } else if (outcome == "not-run") {
            ++notRun_;
            notRunIds_.push_back(id);
        } else if (outcome == "unknown" || result.isWritten) {
            ++unknown_; // The connection broke after the request was written, so it may have run.
        } else {
            ++lost_;
        }
    }

    CallerPlan     plan_;
    EventLoop      loop_;
    ConnectionPool pool_;
    pcg32          random_;
    Timer          timer_;
    TimeMs         endAt_;
    std::int64_t   number_ = 0;
    std::int64_t   outstanding_ = 0;
    std::int64_t   sent_ = 0;
    std::int64_t   answered_ = 0;
    std::int64_t   notRun_ = 0;
    std::int64_t   unknown_ = 0;
    std::int64_t   lost_ = 0;
    std::int64_t   mismatched_ = 0;
    Json           answeredIds_ = Json::array();
    Json           notRunIds_ = Json::array();
};

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Callers
//-----------------------------------------------------------------------------

auto runCallers(const CallerPlan &plan) -> int
{
    std::cout << Callers(plan).run().dump() << '\n';
    return 0;
}

} // namespace peridotwalk
