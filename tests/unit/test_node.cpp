// Ownership of pools inside a node: one scheduler a token, none after a planned stop.

#include "node/node_internal.h"

#include <criterion/criterion.h>

using namespace peridotwalk;

namespace {

// Answers everything at once, and keeps what it was asked.
class FakeStore final : public JournalStore,
                        public OwnershipGroup,
                        public Directory,
                        public WorkerService
{
public:
    explicit FakeStore(EventLoop &loop) : loop_(loop) { }

    auto fence(const JournalWriter &writer, OutcomeSlot slot) -> void override
    {
        fences.push_back(writer);
        loop_.post([slot] { slot(CallOutcome::Done); });
    }
    auto append(const JournalWriter &writer, const std::vector<KeyedRecord> & /*records*/,
                OutcomeSlot          slot) -> void override
    {
        appends.push_back(writer);
        loop_.post([slot] { slot(CallOutcome::Done); });
    }
    auto readNewest(std::int64_t /*partition*/, RecordsSlot slot) -> void override
    {
        loop_.post([slot] { slot(std::vector<KeyedRecord>()); });
    }
    auto join(const std::string & /*member*/, std::int64_t /*generation*/, TimeMs /*ttlMs*/,
              JoinSlot slot) -> void override
    {
        auto membership = Membership{generation, {}};
        for (std::int64_t partition = 0; partition < 16; ++partition) {
            membership.partitions.insert(partition);
        }
        loop_.post([slot, membership] { slot(membership); });
    }
    auto leave(const std::string & /*member*/, std::function<void(bool)> slot) -> void override
    {
        hasLeft = true;
        loop_.post([slot] { slot(true); });
    }
    auto owners(OwnersSlot slot) -> void override
    {
        loop_.post([slot] { slot(std::map<std::int64_t, std::string>()); });
    }
    auto read(DirectorySource source, Offset from, TimeMs /*waitMs*/, PageSlot slot)
        -> void override
    {
        auto page = DirectoryPage{};
        page.next = 1;
        page.isWhole = from < 0;
        if (source == DirectorySource::Operators && from < 0) {
            auto rules = CatalogRules{};
            rules.version = 1;
            auto queue = QueueRule{};
            queue.name = "queue";
            queue.pool = "pool";
            rules.queues.push_back(queue);
            page.changes.emplace_back(CatalogChanged{rules});
        }
        loop_.post([slot, page] { slot(page); }, from < 0 ? 0 : 50);
    }
    auto writeWaveState(const std::string & /*wave*/, bool /*isCompleted*/,
                        std::function<void(CallOutcome)> /*slot*/) -> void override
    {
    }
    auto start(const WorkerPeer & /*worker*/, const StartOrder & /*order*/, OrderSlot /*slot*/)
        -> void override
    {
    }
    auto stop(const WorkerPeer & /*worker*/, const StopOrder & /*order*/, OrderSlot /*slot*/)
        -> void override
    {
    }
    auto pace(const WorkerPeer & /*worker*/, const PaceOrder & /*order*/, OrderSlot /*slot*/)
        -> void override
    {
    }
    auto hold(const WorkerPeer & /*worker*/, const HoldOrder & /*order*/, HoldSlot /*slot*/)
        -> void override
    {
    }

    std::int64_t               generation = 5;
    std::vector<JournalWriter> fences;
    std::vector<JournalWriter> appends;
    bool                       hasLeft = false;

private:
    EventLoop &loop_;
};

struct NodeFixture {
    NodeFixture()
        : store(loop), directory(loop, store, settings),
          ownership(loop, store, settings, "n@127.0.0.1:1#1"),
          pools(loop, {store, store}, settings, directory, ownership)
    {
        configureLog({"test", -1});
        directory.start();
        ownership.start();
    }

    auto run(TimeMs ms) -> void
    {
        loop.post([this] { loop.stop(); }, ms);
        loop.run();
    }

    EventLoop     loop;
    NodeSettings  settings;
    FakeStore     store;
    DirectoryTask directory;
    OwnershipTask ownership;
    PoolsTask     pools;
};

} // namespace

// The scheduler of a pool that was handed over must not come back under its old token.
Test(node, a_planned_stop_ends_ownership_for_good)
{
    auto node = NodeFixture();
    node.run(200);
    cr_assert_eq(node.store.fences.size(), 1U);
    node.ownership.beginLeave();
    node.pools.handOver(true, [&] { node.ownership.leave(); });
    node.run(300);
    cr_assert(node.store.hasLeft);
    cr_assert_eq(node.store.fences.size(), 1U);
    cr_assert(node.pools.pools().empty());
    cr_assert_eq(node.store.appends.size(), 1U); // The hand-over.
}

Test(node, a_pool_under_way_keeps_its_scheduler_when_the_group_changes)
{
    auto node = NodeFixture();
    node.run(200);
    node.store.generation = 6;
    node.run(1'200);
    cr_assert_eq(node.store.fences.size(), 1U);
    cr_assert_eq(node.pools.pools().size(), 1U);
    cr_assert_eq(node.pools.pools().at("pool")->identity().token, 5);
}
