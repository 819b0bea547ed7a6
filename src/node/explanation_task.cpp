#include "http/json_call.h"
#include "node/node_internal.h"

namespace peridotwalk {

namespace {

constexpr int    kOk = 200;
constexpr int    kBadRequest = 400;
constexpr int    kNotFound = 404;
constexpr int    kUnavailable = 503;
constexpr TimeMs kAnswerWithinMs = 2'000; // Also while the pool's ownership changes.

auto refusal(int status, std::string_view reason) -> HttpReply
{
    return {status, "application/json", writeError(reason), {}};
}

auto writeAmount(const ResourceSet &amount) -> Json
{
    return {
        {"cpu", amount.cpu}, {"memory_mb", amount.memoryMb}, {"accelerators", amount.accelerators}};
}

auto writeOptional(const std::optional<TimeMs> &value) -> Json
{
    return value ? Json(*value) : Json(nullptr);
}

auto writeStep(const StepExplanation &step) -> Json
{
    auto json = Json{{"step", step.step},
                     {"tasks", step.tasks},
                     {"need", writeAmount(step.need)},
                     {"placeable", step.placeable},
                     {"waits_for", step.waitsFor},
                     {"candidate_count", step.candidateCount},
                     {"candidates", Json::array()},
                     {"excluded", Json::array()}};
    for (const auto &candidate : step.candidates) {
        json["candidates"].push_back({{"worker", candidate.worker},
                                      {"zone", candidate.zone},
                                      {"rack", candidate.rack},
                                      {"score", candidate.score},
                                      {"free", writeAmount(candidate.free)},
                                      {"tasks", candidate.tasks},
                                      {"answered_age_ms", candidate.answeredAgeMs}});
    }
    for (const auto &exclusion : step.exclusions) {
        json["excluded"].push_back({{"reason", exclusion.reason},
                                    {"workers", exclusion.workers},
                                    {"examples", exclusion.examples}});
    }
    json["place"] = {{"rack", step.place.rack},
                     {"near", step.place.isNear},
                     {"waits", step.place.waits},
                     {"near_ms", writeOptional(step.place.nearMs)},
                     {"far_ms", writeOptional(step.place.farMs)},
                     {"until_ms", writeOptional(step.place.untilMs)}};
    return json;
}

auto writeExplanation(const JobExplanation &job, std::string_view member) -> Json
{
    const auto &admission = job.admission;
    auto        json = Json{{"owner",
                             {{"node", member},
                              {"pool", job.pool},
                              {"token", job.token},
                              {"jobs", job.jobs},
                              {"runs", job.runs},
                              {"workers", job.workers},
                              {"rules_version", job.rulesVersion},
                              {"blocked_by", job.blockedBy}}},
                     {"admission",
                             {{"accepted", admission.isAccepted},
                              {"reason", admission.reason},
                              {"retry_after_ms", admission.retryAfterMs},
                              {"chain_ms", admission.chainMs},
                              {"objective_ms", admission.objectiveMs},
                              {"expected_ms", writeOptional(admission.expectedMs)},
                              {"work_ahead_core_ms", admission.workAhead},
                              {"usable_cpu", admission.usableCpu}}},
                     {"order",
                             {{"timeliness", job.order.timeliness},
                              {"priority", job.order.priority},
                              {"steps_ahead", job.order.stepsAhead},
                              {"tasks_ahead", job.order.tasksAhead},
                              {"work_ahead_core_ms", job.order.workAhead},
                              {"steps_behind", job.order.stepsBehind}}},
                     {"steps", Json::array()},
                     {"later_steps", job.laterSteps},
                     {"ages",
                             {{"term_left_ms", job.termLeftMs},
                              {"workers_ms", job.workersAgeMs},
                              {"round_ms", writeOptional(job.roundAgeMs)},
                              {"direction_ms", writeOptional(job.directionAgeMs)}}}};
    for (const auto &step : job.steps) {
        json["steps"].push_back(writeStep(step));
    }
    return json;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Explanation task
//-----------------------------------------------------------------------------

ExplanationTask::ExplanationTask(EventLoop &loop, HttpClient &peers, const NodeSettings &settings,
                                 DirectoryTask &directory, PoolsTask &pools,
                                 OwnershipTask &ownership)
    : loop_(loop), peers_(peers), settings_(settings), directory_(directory), pools_(pools),
      ownership_(ownership)
{
}

auto ExplanationTask::handle(std::string_view body, ReplySlot slot) -> void
{
    auto question = parseBody<Question>("where", "", body, [](const Json &json) {
        auto read = Question{};
        read.queue = json.at("queue").get<std::string>();
        read.tenant = json.value("tenant", "");
        read.job = json.at("job").get<std::string>();
        read.isRelayed = json.value("relayed", false);
        return read;
    });
    if (!question.ok()) {
        slot(refusal(kBadRequest, std::string(question.status().message())));
        return;
    }
    auto spec = readJob(question->job);
    if (!spec.ok()) {
        slot(refusal(kBadRequest, std::string(spec.status().message())));
        return;
    }
    if (!directory_.hasCatalog()) {
        slot(refusal(kUnavailable, "no rules are known yet"));
        return;
    }
    const auto &catalog = directory_.view().catalog;
    const auto *queue = catalog.queue(question->queue);
    if (queue == nullptr) {
        slot(refusal(kNotFound, "there is no queue " + question->queue));
        return;
    }
    if (question->tenant.empty() ? !queue->isOpen : catalog.tenant(question->tenant) == nullptr) {
        slot(refusal(kNotFound,
                     question->tenant.empty()
                         ? "the queue " + queue->name + " is not open to all: name a tenant"
                         : "there is no tenant " + question->tenant));
        return;
    }
    spec->queue = queue->name;
    spec->pool = queue->pool;
    spec->tenant = question->tenant;
    spec->rulesVersion = catalog.version();
    spec->maxAttempts = queue->maxAttempts;
    const auto size = checkSize(*spec, settings_.pool.maxRecordBytes);
    if (!size.ok()) {
        slot(refusal(kBadRequest, std::string(size.message())));
        return;
    }
    question->pool = queue->pool;
    question->spec = *std::move(spec);
    question->deadline = bootMs() + kAnswerWithinMs;
    question->slot = std::move(slot);
    attempt(std::make_shared<Question>(*std::move(question)));
}

auto ExplanationTask::attempt(const QuestionPtr &question) -> void
{
    if (answerHere(question)) {
        return;
    }
    const auto member = ownership_.memberOf(question->pool);
    const auto address = addressOf(member);
    if (question->isRelayed || member == ownership_.member()) {
        retry(question, "the pool is being taken over");
    } else if (address.empty()) {
        retry(question, "the pool has no known owner");
    } else {
        relay(question, address);
    }
}

auto ExplanationTask::answerHere(const QuestionPtr &question) -> bool
{
    const auto found = pools_.pools().find(question->pool);
    if (found == pools_.pools().end()) {
        return false;
    }
    auto &pool = *found->second;
    if (!pool.isReady() || pool.isFenced() || !pool.isInTerm()) {
        return false;
    }
    const auto explanation = pool.scheduler()->explain(readMoment(), question->spec);
    question->slot({kOk,
                    "application/json",
                    dumpJson(writeExplanation(explanation, ownership_.member())),
                    {}});
    return true;
}

auto ExplanationTask::relay(const QuestionPtr &question, const std::string &address) -> void
{
    const auto body = Json{{"queue", question->queue},
                           {"tenant", question->tenant},
                           {"job", question->job},
                           {"relayed", true}};
    const auto left = std::max<TimeMs>(1, question->deadline - bootMs());
    peers_.request(address, postJson(std::string(kWherePath), body, left),
                   [this, question, address](const HttpResult &result) {
                       if (!result.isComplete || result.status == kUnavailable) {
                           retry(question,
                                 "the pool's owner at " + address + ": "
                                     + (result.isComplete ? result.body : result.error));
                       } else {
                           question->slot({result.status, "application/json", result.body, {}});
                       }
                   });
}

// A relayed call is repeated by the node that was asked, which may learn of another owner.
auto ExplanationTask::retry(const QuestionPtr &question, const std::string &reason) -> void
{
    if (question->isRelayed || bootMs() + settings_.routeRetryMs >= question->deadline) {
        question->slot(refusal(kUnavailable, reason));
        return;
    }
    ownership_.refreshOwners();
    loop_.post([this, question] { attempt(question); }, settings_.routeRetryMs);
}

} // namespace peridotwalk
