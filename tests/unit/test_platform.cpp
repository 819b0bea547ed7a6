// The platform adapter: parsing of valid and malformed input, and paginated listings.

#include "platform/platform_internal.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace peridotwalk;

Test(platform, reads_a_job)
{
    const auto job = readJob(
        R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900,"affinity":"r1-3"},
            {"count":20,"cpu":2000,"memMb":1024,"after":[0],"checkpointing":true,"maxPerServer":2}]})");
    cr_assert(job.ok());
    cr_assert_eq(job->steps.size(), 2U);
    cr_assert_eq(job->steps[0].need.cpu, 500);
    cr_assert_eq(job->steps[0].preferredRack, "r1-3");
    cr_assert_eq(job->steps[1].after.front(), 0);
    cr_assert_eq(job->steps[1].maxPerWorker, 2);
}

Test(platform, rejects_malformed_jobs)
{
    for (const auto *body :
         {"", "{", "[]", "{}", R"({"steps":[]})", R"({"steps":[{"count":0}]})",
          R"({"steps":[{"count":-1}]})", R"({"steps":[{"count":"4"}]})",
          R"({"steps":[{"count":100000000}]})", R"({"steps":[{"count":1,"after":[0]}]})",
          R"({"steps":[{"count":1},{"count":1,"after":[5]}]})",
          R"({"steps":[{"count":1},{"count":1,"after":[-1]}]})", R"({"steps":7})",
          R"({"spec":5,"steps":[{"count":1}]})", R"({"steps":[{"count":1,"cpu":-5}]})"}) {
        cr_assert_not(readJob(body).ok(), "%s", body);
    }
    cr_assert_not(readJob(std::string(200'000, '[')).ok());
    cr_assert_not(
        readJob(R"({"spec":")" + std::string(5'000, 'x') + R"(","steps":[{"count":1}]})").ok());
}

Test(platform, reads_a_caller_and_its_key)
{
    auto request = HttpRequest{};
    request.method = "POST";
    request.path = "/q/5c0e7a21d94b36f8";
    request.headers = {
        {"host", "h.example:80"}, {"authorization", "Bearer abc"}, {"x-deadline-ms", "3000"}};
    const auto call = readJobRequest(request);
    cr_assert(call.verb == JobVerb::Submit);
    cr_assert_eq(call.host, "h.example");
    cr_assert_eq(call.key, "abc");
    cr_assert_eq(call.budgetMs, 3'000);
    cr_assert_eq(*parseJobId(call.path, "/q/"), "5c0e7a21d94b36f8");
    cr_assert_not(parseJobId("/q/short", "/q/").has_value());
    cr_assert_not(parseJobId("/q/5c0e7a21d94b36f8/more", "/q/").has_value());
}

Test(platform, rejects_a_malformed_worker_entry)
{
    for (const auto *text :
         {"", "x", "{}", R"({"service":5})",
          R"({"service":"p","address":"a","zone":"z","state":"odd","capacity":{},"labels":[]})"}) {
        cr_assert_not(readWorkerReport("i-1", text).ok(), "%s", text);
    }
    const auto good = readWorkerReport(
        "i-1", R"({"service":"p","address":"10.1.1.1:80","zone":"z","state":"draining","seq":1,
                   "capacity":{"cpu":16000,"memMb":32768},"labels":["a","r1-3"],"born":17})");
    cr_assert(good.ok());
    cr_assert(good->isDraining);
    cr_assert_eq(good->rack, "r1-3");
    cr_assert_eq(good->startedAtMs, 17);
}

Test(platform, keyed_records_round_trip)
{
    rc::check("keyed records round trip", [](const std::string &value) {
        const auto packed = packKeyed({"key", value});
        const auto read = unpackKeyed(std::string_view(packed).substr(4));
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->key == "key");
        RC_ASSERT(read->value == value);
    });
}

Test(platform, parsers_handle_arbitrary_bytes)
{
    const auto isSafe = rc::check("any bytes", [](const std::string &bytes) {
        (void)unpackKeyed(bytes);
        (void)unpackChunk(bytes);
        (void)readJob(bytes);
        (void)readCatalog(bytes);
        (void)readWorkerReport("i", bytes);
        (void)readWave("1", bytes);
    });
    cr_assert(isSafe);
}

Test(platform, reads_a_chunk_of_the_log_and_rejects_a_truncated_one)
{
    auto body = std::string("\0\0\0\0\0\0\0\x05\0\0\0\0\0\0\0\x02", 16);
    body += packRecord("one") + packRecord("two");
    const auto chunk = unpackChunk(body);
    cr_assert(chunk.has_value());
    cr_assert_eq(chunk->end, 5);
    cr_assert_eq(chunk->first, 2);
    cr_assert_eq(chunk->records.size(), 2U);
    cr_assert_not(unpackChunk(body.substr(0, body.size() - 1)).has_value());
}

namespace {

// Serves two paginated listings on loopback, two pages each.
struct FakePages {
    FakePages() : server(loop, {}), pool(loop, {.isProbed = false})
    {
        server.requestArrived.connect([this](const HttpRequest &request) { reply(request); });
        cr_assert(server.listen("127.0.0.1:0").ok());
        addresses.store = fmt::format("127.0.0.1:{}", server.port());
        addresses.machines = addresses.store;
    }

    auto reply(const HttpRequest &request) -> void
    {
        const auto machine = [](const std::string &name) {
            return Json{{"machine", name}, {"pool", "p"},           {"state", "up"},
                        {"zone", "z"},     {"labels", {"a", "r1"}}, {"id", nullptr}};
        };
        auto body = Json();
        if (request.path == "/peridotwalk/machines") {
            const auto isFirst = !request.query.contains("pagetoken");
            body = {{"machines", {machine(isFirst ? "m0" : "m1")}}};
            body["nextToken"] = isFirst ? Json("more") : Json(nullptr);
        } else if (!request.query.contains("after")) {
            body = {{"items", {{{"key", "wave/1"}, {"value", "e30="}, {"offset", 1}}}},
                    {"hasMore", true},
                    {"end", 7}};
        } else {
            body = {{"items", {{{"key", "wave/2"}, {"value", "e30="}, {"offset", 8}}}},
                    {"hasMore", false},
                    {"end", 9}};
        }
        server.reply(request.id, {200, "application/json", dumpJson(body), {}});
    }

    EventLoop         loop;
    HttpServer        server;
    ConnectionPool    pool;
    PlatformAddresses addresses;
};

// Answers every call with one body.
struct FakeAnswer {
    explicit FakeAnswer(int status, std::string body)
        : server(loop, {}), pool(loop, {.isProbed = false})
    {
        server.requestArrived.connect([this, status, body = std::move(body)](const auto &request) {
            server.reply(request.id, {status, "application/json", body, {}});
        });
        cr_assert(server.listen("127.0.0.1:0").ok());
        address = fmt::format("127.0.0.1:{}", server.port());
        addresses.store = address;
        addresses.machines = address;
    }

    EventLoop         loop;
    HttpServer        server;
    ConnectionPool    pool;
    std::string       address;
    PlatformAddresses addresses;
};

auto workerEntry(const std::string &change) -> std::string
{
    auto entry = Json{{"service", "p"},       {"address", "10.1.1.1:80"},
                      {"zone", "z"},          {"state", "ready"},
                      {"born", 17},           {"capacity", {{"cpu", 16'000}, {"memMb", 32'768}}},
                      {"labels", {"a", "r1"}}};
    entry.merge_patch(Json::parse(change));
    return dumpJson(entry);
}

// Entries that another writer may leave among those of the workers.
auto oddWorkerEntries() -> std::vector<std::string>
{
    auto odd = std::vector<std::string>{std::string(200'000, '['),
                                        R"({"a":)" + std::string(5'000, '[')
                                            + std::string(5'000, ']') + "}",
                                        "\xff\xfe{}",
                                        "{",
                                        "null",
                                        "7",
                                        R"({"service":"p","service":5})"};
    for (const auto *change : {R"({"address":"10.1.1.1:0"})",
                               R"({"address":"10.1.1.1:65536"})",
                               R"({"address":"10.1.1.1:99999"})",
                               R"({"address":"10.1.1.1:-1"})",
                               R"({"address":"10.1.1.1:http"})",
                               R"({"address":"10.1.1.1"})",
                               R"({"address":""})",
                               R"({"address":17})",
                               R"({"address":"10.1.1.1:18446744073709551697"})",
                               R"({"capacity":{"cpu":1e300}})",
                               R"({"capacity":{"cpu":18446744073709551616}})",
                               R"({"capacity":{"cpu":9223372036854775807}})",
                               R"({"capacity":{"cpu":18446744073709551615}})",
                               R"({"capacity":{"memMb":-1}})",
                               R"({"capacity":{"cpu":"NaN"}})",
                               R"({"capacity":[]})",
                               R"({"capacity":{"gpu":1e10}})",
                               R"({"born":1e300})",
                               R"({"born":-5})",
                               R"({"drainRemainingMs":1e300})",
                               R"({"state":"odd"})",
                               R"({"state":null})",
                               R"({"service":""})",
                               R"({"zone":5})",
                               R"({"labels":"a"})",
                               R"({"labels":[1]})"}) {
        odd.push_back(workerEntry(change));
    }
    odd.push_back(workerEntry(R"({"labels":[")" + std::string(1'000'000, 'x') + R"("]})"));
    return odd;
}

} // namespace

Test(platform, lists_machines_page_by_page)
{
    auto       pages = FakePages();
    const auto machines = makeMachineService(pages.pool, pages.addresses);
    auto       listed = std::vector<MachineEntry>();
    machines->list([&](absl::StatusOr<std::vector<MachineEntry>> got) {
        cr_assert(got.ok());
        listed = *got;
        pages.loop.stop();
    });
    pages.loop.run();
    cr_assert_eq(listed.size(), 2U);
    cr_assert_eq(listed[1].name, "m1");
}

// Changes made while the pages are read must not be missed, so reading continues at the end offset of the
// first page, not of the last.
Test(platform, reading_continues_at_the_end_of_the_first_page)
{
    auto pages = FakePages();
    auto newest = NewestRecords();
    readNewestRecords(pages.pool, pages.addresses, "keyed.op", 0,
                      [&](absl::StatusOr<NewestRecords> got) {
                          cr_assert(got.ok());
                          newest = *got;
                          pages.loop.stop();
                      });
    pages.loop.run();
    cr_assert_eq(newest.records.size(), 2U);
    cr_assert_eq(newest.records[1].key, "wave/2");
    cr_assert_eq(newest.next, 7);
}

// Another writer may leave any entry among those of the workers. It names no worker; the others are followed
// on, and a worker whose entry it replaces gets no new runs.
Test(platform, an_odd_entry_is_left_out_and_the_others_are_followed)
{
    const auto odd = oddWorkerEntries();
    auto       body = writeBigEndian(100 + odd.size() * 2 + 2, 8) + writeBigEndian(1, 8);
    body += packKeyed({"first", workerEntry("{}")});
    body += packRecord(""); // A record without a key,
    body += packRecord("\xff"
                       "abc"); // and one that is cut off.
    for (std::size_t number = 0; number < odd.size(); ++number) {
        body += packKeyed({fmt::format("odd{}", number), odd[number]});
        body += packKeyed({fmt::format("good{}", number), workerEntry("{}")});
    }
    body += packKeyed({"first", odd.back()});
    auto       answer = FakeAnswer(200, body);
    const auto directory = makeDirectory(answer.pool, answer.addresses);
    auto       page = DirectoryPage{};
    directory->read(DirectorySource::Workers, 100, 0, [&](absl::StatusOr<DirectoryPage> got) {
        cr_assert(got.ok());
        page = *got;
        answer.loop.stop();
    });
    answer.loop.run();
    cr_assert_eq(page.next, static_cast<Offset>(104 + odd.size() * 2));
    auto listed = std::set<std::string>();
    auto removed = std::set<std::string>();
    for (const auto &change : page.changes) {
        const auto &worker = std::get<WorkerChanged>(change);
        (worker.report ? listed : removed).insert(worker.id);
        if (!worker.report) {
            listed.erase(worker.id);
        }
    }
    cr_assert_eq(listed.size(), odd.size());
    for (std::size_t number = 0; number < odd.size(); ++number) {
        cr_assert(listed.contains(fmt::format("good{}", number)));
        cr_assert(removed.contains(fmt::format("odd{}", number)), "entry %zu", number);
    }
    cr_assert(removed.contains("first"));
}

// Answers of workers and of the machine service whose fields have other types.
Test(platform, an_odd_answer_to_an_order_ends_nothing)
{
    for (const auto status : {200, 409, 421, 503, 500}) {
        for (const auto &body :
             {std::string(R"({"clockMs":"soon","reason":5})"), std::string(R"({"clockMs":1e300})"),
              std::string(R"({"reason":null,"clockMs":[]})"), std::string("[]"), std::string("{"),
              std::string(100'000, '['), std::string()}) {
            auto       answer = FakeAnswer(status, body);
            const auto workers = makeWorkerService(answer.pool, answer.addresses);
            const auto machines = makeMachineService(answer.pool, answer.addresses);
            auto       answers = 0;
            const auto count = [&] {
                if (++answers == 4) {
                    answer.loop.stop();
                }
            };
            const auto peer = WorkerPeer{"i-1", answer.address};
            workers->start(peer, {}, [&](const OrderReply &) { count(); });
            workers->stop(peer, {}, [&](const OrderReply &) { count(); });
            workers->hold(peer, {}, [&](const HoldReply &reply) {
                cr_assert(reply.outcome != CallOutcome::Done);
                count();
            });
            machines->move("m", "p", {}, [&](const MachineReply &) { count(); });
            answer.loop.run();
            cr_assert_eq(answers, 4);
        }
    }
}

// The scanner takes the usual form of a listing. Whatever else may be valid is left to the JSON library.
Test(platform, a_listing_is_scanned_as_a_document_or_not_at_all)
{
    const auto body = std::string(R"({"clockMs":482113, "born":17,
        "running":[["5c0e7a21d94b36f8.0.1.17",2,"00ab",41],["a.1.0.3",1,"",100,7]],
        "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"b",3,"odd","c"]]})");
    const auto reply = scanHoldReply(body);
    cr_assert(reply.has_value());
    cr_assert(reply->outcome == CallOutcome::Done);
    cr_assert_eq(reply->clockMs, 482'113);
    cr_assert_eq(reply->startedAtMs, 17);
    cr_assert_eq(reply->running.size(), 2U);
    cr_assert(reply->running[0].task == (TaskRef{"5c0e7a21d94b36f8", 0, 1, 17}));
    cr_assert_eq(reply->running[0].run, 2);
    cr_assert_eq(reply->running[0].checkpoint, "00ab");
    cr_assert_eq(reply->running[0].percent, 41);
    cr_assert_eq(reply->running[1].usage, 7);
    cr_assert_eq(reply->ended.size(), 2U);
    cr_assert_eq(reply->ended[0].number, 58);
    cr_assert(reply->ended[0].end == RunEnd::Done);
    cr_assert(reply->ended[1].task == (TaskRef{"b", 0, 0, 0}));
    cr_assert(reply->ended[1].end == RunEnd::LeaseExpired);
    cr_assert_eq(reply->ended[1].checkpoint, "c");
    cr_assert(scanHoldReply(R"({"running":[],"finished":[],"clockMs":-5})").has_value());
    for (std::size_t size = 0; size < body.size(); ++size) {
        cr_assert(!scanHoldReply(body.substr(0, size)).has_value(), "%zu bytes", size);
    }
    for (const auto &other : {R"({"clockMs":1.5,"running":[],"finished":[]})",
                              R"({"clockMs":1e3,"running":[],"finished":[]})",
                              R"({"clockMs":01,"running":[],"finished":[]})",
                              R"({"clockMs":99999999999999999999,"running":[],"finished":[]})",
                              R"({"clockMs":1,"running":[],"finished":[],"more":1})",
                              R"({"clockMs":1,"clockMs":2,"running":[],"finished":[]})",
                              R"({"clockMs":1,"running":[["a\\u0041",1,"",1]],"finished":[]})",
                              R"({"clockMs":1,"running":[],"finished":[]}x)",
                              R"({"clockMs":1,"running":[],"finished":[[1,"a",1,"done",""],]})",
                              R"({"clockMs":"1","running":[],"finished":[]})",
                              R"({"clockMs":1,"running":[["a",1,"",1,2,3]],"finished":[]})",
                              R"({"clockMs":1,"finished":[]})", "{}", "[]", ""}) {
        cr_assert(!scanHoldReply(other).has_value(), "%s", other);
    }
}

Test(platform, texts_are_quoted_as_by_the_json_library)
{
    for (const auto &text :
         {std::string("plain"), std::string("a\"b\\c\nd"), std::string("gr\xc3\xb6\xc3\x9f"),
          std::string("\xff"), std::string(1, '\0'), std::string()}) {
        cr_assert_eq(quoteJson(text), dumpJson(text));
    }
}

Test(platform, an_odd_machine_is_left_out_of_the_list)
{
    const auto good = Json{{"machine", "m0"}, {"pool", "p"},           {"state", "up"},
                           {"zone", "z"},     {"labels", {"a", "r1"}}, {"id", nullptr}};
    auto       odd = good;
    odd["labels"] = 7;
    auto nameless = good;
    nameless["machine"] = "";
    auto       answer = FakeAnswer(200, dumpJson({{"machines", {odd, good, nameless, 5}}}));
    const auto machines = makeMachineService(answer.pool, answer.addresses);
    auto       listed = std::vector<MachineEntry>();
    machines->list([&](absl::StatusOr<std::vector<MachineEntry>> got) {
        cr_assert(got.ok());
        listed = *got;
        answer.loop.stop();
    });
    answer.loop.run();
    cr_assert_eq(listed.size(), 1U);
    cr_assert_eq(listed[0].name, "m0");
}

Test(platform, an_odd_wave_is_refused)
{
    for (const auto *text :
         {R"({"machines":["m0"],"leaseTermS":1e300,"maximum":1})",
          R"({"machines":["m0"],"leaseTermS":-1,"maximum":1})",
          R"({"machines":["m0"],"leaseTermS":1,"maximum":1e300})",
          R"({"machines":["m0"],"leaseTermS":1,"maximum":-1})",
          R"({"machines":[""],"leaseTermS":1,"maximum":1})", R"({"machines":7})"}) {
        const auto wave = readWave("1", text);
        cr_assert_not(wave.ok() && checkWave(*wave).ok(), "%s", text);
    }
    const auto good = readWave("1", R"({"machines":["m0"],"leaseTermS":24.0,"maximum":2})");
    cr_assert(good.ok() && checkWave(*good).ok());
    cr_assert_eq(good->withinMs, 24'000);
}

Test(platform, a_job_with_numbers_out_of_range_is_refused)
{
    for (const auto *body :
         {R"({"steps":[{"count":1e300}]})", R"({"steps":[{"count":18446744073709551617}]})",
          R"({"steps":[{"count":1,"cpu":1e300}]})",
          R"({"steps":[{"count":1,"memMb":18446744073709551615}]})",
          R"({"steps":[{"count":1,"estimateMs":-1e300}]})",
          R"({"steps":[{"count":1}],"times":1e300})",
          R"({"steps":[{"count":1}],"startAtMs":9223372036854775808})",
          R"({"steps":[{"count":1,"after":[1e300]}]})"}) {
        cr_assert_not(readJob(body).ok(), "%s", body);
    }
}
