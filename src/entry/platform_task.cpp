#include "entry/entry_internal.h"

#include <glog/logging.h>

namespace peridotwalk {

namespace {

constexpr std::size_t kMaxAppendsInFlight = 8;

auto platformLimits(const EntrySettings &settings) -> ConnectionPoolLimits
{
    auto limits = ConnectionPoolLimits{};
    limits.connectTimeoutMs = settings.platformTimeoutMs;
    return limits;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Platform task
//-----------------------------------------------------------------------------

PlatformTask::PlatformTask(EventLoop &loop, const EntrySettings &settings, DecisionTask &decisions)
    : decisions_(decisions), pool_(loop, platformLimits(settings)),
      log_(makeHttpLogService(pool_, settings.logAddress, settings.platformTimeoutMs)),
      list_(makeHttpInstanceList(pool_, settings.instancesAddress, settings.platformTimeoutMs)),
      logTimer_(std::make_unique<Timer>(loop, settings.logPollMs,
                                        [this] {
                                            readLog();
                                            sendAppends();
                                        })),
      listTimer_(std::make_unique<Timer>(loop, settings.listPollMs, [this] { readList(); }))
{
}

auto PlatformTask::readLog() -> void
{
    if (isReading_) {
        return;
    }
    isReading_ = true;
    const auto asOf = monotonicMs();
    log_->read(decisions_.engine().nextReadOffset(), [this, asOf](absl::StatusOr<LogPage> page) {
        isReading_ = false;
        onPage(asOf, std::move(page));
    });
}

auto PlatformTask::onPage(TimeMs asOf, absl::StatusOr<LogPage> page) -> void
{
    if (!page.ok()) {
        LOG_EVERY_N(WARNING, 20) << page.status();
        return;
    }
    decisions_.handle([&](Engine &engine, Now now) {
        auto after = page->after;
        for (const auto &entry : page->entries) {
            engine.onRecord(now, after, entry.offset, entry.text);
            after = entry.offset;
        }
        if (page->entries.empty()) {
            engine.onLogHead(now, asOf);
        }
    });
    if (!page->entries.empty()) {
        readLog();
    }
}

auto PlatformTask::readList() -> void
{
    if (isListing_) {
        return;
    }
    isListing_ = true;
    list_->list([this](absl::StatusOr<std::vector<InstanceEntry>> list) {
        isListing_ = false;
        onList(std::move(list));
    });
}

auto PlatformTask::onList(absl::StatusOr<std::vector<InstanceEntry>> list) -> void
{
    if (!list.ok()) {
        LOG_EVERY_N(WARNING, 20) << list.status();
        return;
    }
    auto instances = std::vector<ListedInstance>();
    auto terminated = std::vector<std::string>();
    for (const auto &entry : *list) {
        if (entry.state == InstanceState::Terminated) {
            terminated.push_back(entry.name);
        } else {
            instances.push_back({entry.name, entry.address, entry.state == InstanceState::Leaving});
        }
    }
    decisions_.handle([&](Engine &engine, Now now) { engine.onList(now, instances, terminated); });
}

auto PlatformTask::append(const AppendRecord &record) -> void
{
    pendingAppends_.emplace(record.id, record.text);
    sendAppends();
}

auto PlatformTask::sendAppends() -> void
{
    for (const auto &[id, text] : pendingAppends_) {
        if (inFlight_.size() >= kMaxAppendsInFlight) {
            return;
        }
        if (!inFlight_.insert(id).second) {
            continue;
        }
        log_->append(text, [this, id = id](const absl::StatusOr<std::int64_t> &offset) {
            inFlight_.erase(id);
            if (offset.ok()) {
                pendingAppends_.erase(id);
                readLog();
                return;
            }
            // The timer sends it again. If the log has it already, the second one has no effect.
            LOG(WARNING) << "append " << id << ": " << offset.status();
        });
    }
}

} // namespace peridotwalk
