#include "http/http_internal.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <utility>

namespace peridotwalk {

namespace {

constexpr TimeMs kMsPerSecond = 1'000;
constexpr TimeMs kNsPerMs = 1'000'000;
constexpr TimeMs kMaxDispatchMs = 5;        // Longest time, and most events, until the loop looks
constexpr int    kMaxDispatchedEvents = 32; // for urgent events again.

auto runDelayed(evutil_socket_t /*socket*/, short /*events*/, void *task) -> void
{
    const auto owned =
        std::unique_ptr<std::function<void()>>(static_cast<std::function<void()> *>(task));
    (*owned)();
}

auto runTimer(evutil_socket_t /*socket*/, short /*events*/, void *slot) -> void
{
    (*static_cast<std::function<void()> *>(slot))();
}

template <typename Clock>
auto clockMs() -> std::int64_t
{
    const auto passed = Clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(passed).count();
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Event loop
//-----------------------------------------------------------------------------

// Urgent events are handled as soon as they are due, not after the hundreds of others of a busy loop. libevent
// reads 4 KB of a connection at a time, so a large answer needs many rounds of the loop.
EventLoop::EventLoop()
{
    auto      *config = event_config_new();
    const auto interval = toTimeval(kMaxDispatchMs);
    event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    event_config_set_max_dispatch_interval(config, &interval, kMaxDispatchedEvents,
                                           kNormalPriority);
    base_ = event_base_new_with_config(config);
    event_config_free(config);
    event_base_priority_init(base_, kPriorities);
    postedEvent_ = event_new(base_, -1, 0, runPosted, this);
}

EventLoop::~EventLoop()
{
    event_free(postedEvent_);
    event_base_free(base_);
}

auto EventLoop::run() -> void
{
    event_base_dispatch(base_);
}

auto EventLoop::stop() -> void
{
    event_base_loopbreak(base_);
}

auto EventLoop::post(std::function<void()> task, TimeMs afterMs) -> void
{
    if (afterMs <= 0) {
        posted_.push_back(std::move(task));
        event_active(postedEvent_, EV_TIMEOUT, 0);
        return;
    }
    const auto delay = toTimeval(afterMs);
    auto       owned = std::make_unique<std::function<void()>>(std::move(task));
    event_base_once(base_, -1, EV_TIMEOUT, runDelayed, owned.release(), &delay);
}

// Runs the tasks that are due, but lets the loop look for urgent events in between, and stop.
auto EventLoop::runPosted(evutil_socket_t /*socket*/, short /*events*/, void *self) -> void
{
    auto      &loop = *static_cast<EventLoop *>(self);
    const auto until = monotonicMs() + kMaxDispatchMs;
    auto       left = std::min(loop.posted_.size(), std::size_t{kMaxDispatchedEvents});
    for (; left > 0 && monotonicMs() <= until && event_base_got_break(loop.base_) == 0; --left) {
        const auto task = std::move(loop.posted_.front());
        loop.posted_.pop_front();
        task();
    }
    if (!loop.posted_.empty()) {
        event_active(loop.postedEvent_, EV_TIMEOUT, 0);
    }
}

Timer::Timer(EventLoop &loop, TimeMs everyMs, std::function<void()> slot)
    : slot_(std::move(slot)), event_(event_new(loop.base(), -1, EV_PERSIST, runTimer, &slot_))
{
    const auto interval = toTimeval(everyMs);
    event_add(event_, &interval);
}

Timer::~Timer()
{
    event_free(event_);
}

auto monotonicMs() -> TimeMs
{
    return clockMs<std::chrono::steady_clock>();
}

auto bootMs() -> TimeMs
{
    auto time = timespec{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time.tv_sec * kMsPerSecond + time.tv_nsec / kNsPerMs;
}

auto wallMs() -> std::int64_t
{
    return clockMs<std::chrono::system_clock>();
}

} // namespace peridotwalk
