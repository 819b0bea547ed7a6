#include "journal/journal.h"

#include "jobs/jobs_wire.h"

#include <fmt/format.h>

#include <charconv>

namespace peridotwalk {

// Progress of a task. Tasks in their initial state have no row.
struct TaskRow {
    std::int64_t occurrence = 0;
    std::int64_t step = 0;
    std::int64_t index = 0;
    std::int64_t run = 0;
    std::int64_t endedRun = 0;
    std::int64_t failures = 0;
    bool         isDone = false;
    std::string  checkpoint; // Empty: none.
    std::string  worker;     // Worker of the live run. Empty: none.
};

// Specification of a job, as submitted.
struct JobRow {
    JobSpec      spec;
    std::int64_t acceptedAtMs = 0;
};

// Progress of a job.
struct ProgressRow {
    std::int64_t              state = 0; // A JobState.
    std::int64_t              doneOccurrences = 0;
    std::vector<std::int64_t> done; // Numbers of done occurrences; their tasks have no rows.
    std::vector<TaskRow>      tasks;
};

} // namespace peridotwalk

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    PERIDOTWALK_WIRE(TaskRow, v.occurrence, v.step, v.index, v.run, v.endedRun, v.failures,
                     v.isDone, v.checkpoint, v.worker)
    PERIDOTWALK_WIRE(JobRow, v.spec, v.acceptedAtMs)
    PERIDOTWALK_WIRE(Handover, v.expiresInMs)
    PERIDOTWALK_WIRE(QueueHome, v.earlierPools)
    PERIDOTWALK_WIRE(EarlyCancel, v.queue)
    PERIDOTWALK_WIRE(ProgressRow, v.state, v.doneOccurrences, v.done, v.tasks)

    } // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE
} // namespace msgpack

namespace peridotwalk {

namespace {

// First character of a record's key. The id of the job follows, the pool's name for a handover, the names of
// pool and queue for a queue's home, or the pool's name and the job's id for an early cancel.
constexpr char kSpecPrefix = 'j';
constexpr char kProgressPrefix = 'p';
constexpr char kHandoverPrefix = 'h';
constexpr char kQueueHomePrefix = 'q';
constexpr char kEarlyCancelPrefix = 'c';

auto isInitial(const JobTask &task) -> bool
{
    return task.run == 0 && task.endedRun == 0 && !task.isDone;
}

// Where a task is when all tasks of a job are counted, from occurrence 0 and step 0 on.
auto positionOf(const JobSpec &spec, const TaskRef &task) -> std::int64_t
{
    auto position = task.occurrence * taskCount(spec) + task.index;
    for (std::int64_t step = 0; step < task.step; ++step) {
        position += spec.steps[static_cast<std::size_t>(step)].count;
    }
    return position;
}

// Adds the rows of an occurrence's tasks between two positions.
auto appendRows(const JobSpec &spec, const Occurrence &occurrence, std::int64_t number,
                std::int64_t first, std::int64_t last, std::vector<TaskRow> &rows) -> void
{
    auto begin = number * taskCount(spec); // Position of the step's first task.
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
        const auto &tasks = occurrence.steps[step];
        const auto  end = std::min(std::ssize(tasks), last - begin);
        for (auto index = std::max<std::int64_t>(0, first - begin); index < end; ++index) {
            const auto &task = tasks[static_cast<std::size_t>(index)];
            if (!isInitial(task)) {
                rows.push_back({number, static_cast<std::int64_t>(step), index, task.run,
                                task.endedRun, task.failures, task.isDone, task.checkpoint,
                                task.worker});
            }
        }
        begin += std::ssize(tasks);
    }
}

// The key of a progress record is the job's id, followed by a slash and the record's number unless it is 0.
auto progressKey(const std::string &job, std::int64_t number) -> std::string
{
    return number == 0 ? kProgressPrefix + job
                       : fmt::format("{}{}/{}", kProgressPrefix, job, number);
}

// Returns the job's id and the record's number.
auto parseProgressKey(std::string_view key) -> std::pair<std::string_view, std::int64_t>
{
    key.remove_prefix(1);
    const auto slash = key.find('/');
    if (slash == std::string_view::npos) {
        return {key, 0};
    }
    std::int64_t number = 0;
    std::from_chars(key.data() + slash + 1, key.data() + key.size(), number);
    return {key.substr(0, slash), number};
}

// Returns the start of the keys of a pool's records of one kind. A name follows.
auto poolPrefix(char kind, const std::string &pool) -> std::string
{
    return kind + pool + '/';
}

// Returns a pool's records of one kind, by the names in their keys. Records that can't be read are left out.
template <typename Value>
auto findOfPool(char kind, const std::string &pool, const std::vector<KeyedRecord> &records)
    -> std::map<std::string, Value, std::less<>>
{
    auto       found = std::map<std::string, Value, std::less<>>();
    const auto prefix = poolPrefix(kind, pool);
    for (const auto &record : records) {
        if (!record.key.starts_with(prefix) || record.value.empty()) {
            continue;
        }
        auto value = unpackWire<Value>("journal.restore", record.key, record.value);
        if (value.ok()) {
            found[record.key.substr(prefix.size())] = *std::move(value);
        }
    }
    return found;
}

auto hasNoLiveRun(const Occurrence &occurrence) -> bool
{
    for (const auto &tasks : occurrence.steps) {
        for (const auto &task : tasks) {
            if (task.isLive()) {
                return false;
            }
        }
    }
    return true;
}

auto applyProgress(Job &job, const ProgressRow &row, std::int64_t record) -> void
{
    if (record == 0) {
        job.state = static_cast<JobState>(row.state);
        job.doneOccurrences = row.doneOccurrences;
    }
    for (const auto number : row.done) {
        job.isUnsplit =
            job.isUnsplit || progressRecordOf(job.spec, {job.spec.id, number, 0, 0}) != record;
        auto &occurrence = job.occurrences[number] = makeOccurrence(job.spec);
        for (auto &tasks : occurrence.steps) {
            for (auto &task : tasks) {
                task.isDone = true;
            }
        }
    }
    for (const auto &entry : row.tasks) {
        auto [found, isNew] = job.occurrences.try_emplace(entry.occurrence);
        if (isNew) {
            found->second = makeOccurrence(job.spec);
        }
        const auto ref = TaskRef{job.spec.id, entry.occurrence, entry.step, entry.index};
        auto      *task = findTask(job, ref);
        if (task == nullptr) {
            continue;
        }
        job.isUnsplit = job.isUnsplit || progressRecordOf(job.spec, ref) != record;
        task->run = entry.run;
        task->endedRun = entry.endedRun;
        task->failures = entry.failures;
        task->isDone = entry.isDone;
        task->checkpoint = entry.checkpoint;
        task->worker = entry.worker;
        task->phase = entry.worker.empty() ? RunPhase::None : RunPhase::Unknown;
    }
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Records
//-----------------------------------------------------------------------------

auto encodeJob(const Job &job) -> KeyedRecord
{
    return {kSpecPrefix + job.spec.id, packWire(JobRow{job.spec, job.acceptedAtMs})};
}

auto encodeProgress(const Job &job, std::int64_t number) -> KeyedRecord
{
    const auto count = taskCount(job.spec);
    const auto first = number * kTasksPerRecord;
    const auto last = first + kTasksPerRecord;
    auto       row = ProgressRow{};
    row.state = static_cast<std::int64_t>(job.state);
    row.doneOccurrences = job.doneOccurrences;
    for (auto found = job.occurrences.lower_bound(first / count);
         found != job.occurrences.end() && found->first * count < last; ++found) {
        // Only an occurrence without rows in other records can be named in place of its rows.
        const auto isWhole = found->first * count >= first && (found->first + 1) * count <= last;
        if (isWhole && isOccurrenceDone(found->second) && hasNoLiveRun(found->second)) {
            row.done.push_back(found->first);
        } else {
            appendRows(job.spec, found->second, found->first, first, last, row.tasks);
        }
    }
    return {progressKey(job.spec.id, number), packWire(row)};
}

auto progressRecordOf(const JobSpec &spec, const TaskRef &task) -> std::int64_t
{
    return positionOf(spec, task) / kTasksPerRecord;
}

auto maxCheckpointBytes(std::int64_t maxRecordBytes) -> std::size_t
{
    return static_cast<std::size_t>(
        std::max<std::int64_t>(0, maxRecordBytes / kTasksPerRecord - kMaxTaskRowBytes));
}

auto recordBytes(const KeyedRecord &record) -> std::int64_t
{
    return std::ssize(record.key) + std::ssize(record.value) + 1;
}

auto checkSize(const JobSpec &spec, std::int64_t maxRecordBytes) -> absl::Status
{
    const auto tooLarge = [](std::int64_t amount, std::string_view unit, std::int64_t most) {
        return makeError(
            absl::StatusCode::kInvalidArgument, "job.check", "caller",
            fmt::format("the job has {} {}, and at most {} are possible", amount, unit, most));
    };
    if (taskCount(spec) > kMaxTasksPerJob) {
        return tooLarge(taskCount(spec), "tasks", kMaxTasksPerJob);
    }
    // What the owner fills in later is encoded in up to 9 bytes: the time of acceptance, and the newest maximum.
    auto job = Job();
    job.spec = spec;
    job.spec.maxAttempts = std::numeric_limits<std::int64_t>::max();
    job.acceptedAtMs = kMaxWallMs;
    const auto bytes = recordBytes(encodeJob(job));
    return bytes <= maxRecordBytes ? absl::OkStatus() : tooLarge(bytes, "bytes", maxRecordBytes);
}

auto restoreJobs(const std::vector<KeyedRecord> &records) -> RestoredJobs
{
    auto restored = RestoredJobs{};
    for (const auto &record : records) {
        if (record.key.empty() || record.key[0] != kSpecPrefix || record.value.empty()) {
            continue;
        }
        auto row = unpackWire<JobRow>("journal.restore", record.key, record.value);
        if (!row.ok()) {
            restored.errors.push_back(row.status());
            continue;
        }
        const auto status = checkJob(row->spec);
        if (!status.ok()) {
            restored.errors.push_back(status);
            continue;
        }
        auto &job = restored.jobs[row->spec.id];
        job.spec = std::move(row->spec);
        job.acceptedAtMs = row->acceptedAtMs;
    }
    for (const auto &record : records) {
        if (record.key.empty() || record.key[0] != kProgressPrefix || record.value.empty()) {
            continue;
        }
        const auto [id, number] = parseProgressKey(record.key);
        const auto found = restored.jobs.find(id);
        auto       row = unpackWire<ProgressRow>("journal.restore", record.key, record.value);
        if (!row.ok() || found == restored.jobs.end()) {
            restored.errors.push_back(row.ok() ? makeError(absl::StatusCode::kDataLoss,
                                                           "journal.restore", record.key,
                                                           "progress of a job without a record")
                                               : row.status());
            continue;
        }
        applyProgress(found->second, *row, number);
    }
    return restored;
}

//-----------------------------------------------------------------------------
// [SECTION] Handover
//-----------------------------------------------------------------------------

auto encodeHandover(const std::string &pool, const Handover &handover) -> KeyedRecord
{
    return {kHandoverPrefix + pool, packWire(handover)};
}

auto encodeHandoverRemoval(const std::string &pool) -> KeyedRecord
{
    return {kHandoverPrefix + pool, ""};
}

auto findHandover(const std::string &pool, const std::vector<KeyedRecord> &records)
    -> std::optional<Handover>
{
    for (const auto &record : records) {
        if (record.key == kHandoverPrefix + pool && !record.value.empty()) {
            auto handover = unpackWire<Handover>("journal.handover", record.key, record.value);
            return handover.ok() ? std::optional(*std::move(handover)) : std::nullopt;
        }
    }
    return std::nullopt;
}

//-----------------------------------------------------------------------------
// [SECTION] Queue homes
//-----------------------------------------------------------------------------

auto encodeQueueHome(const std::string &pool, const std::string &queue, const QueueHome &home)
    -> KeyedRecord
{
    return {poolPrefix(kQueueHomePrefix, pool) + queue, packWire(home)};
}

auto encodeQueueHomeRemoval(const std::string &pool, const std::string &queue) -> KeyedRecord
{
    return {poolPrefix(kQueueHomePrefix, pool) + queue, ""};
}

auto findQueueHomes(const std::string &pool, const std::vector<KeyedRecord> &records) -> QueueHomes
{
    return findOfPool<QueueHome>(kQueueHomePrefix, pool, records);
}

//-----------------------------------------------------------------------------
// [SECTION] Early cancels
//-----------------------------------------------------------------------------

auto encodeEarlyCancel(const std::string &pool, const std::string &job, const EarlyCancel &cancel)
    -> KeyedRecord
{
    return {poolPrefix(kEarlyCancelPrefix, pool) + job, packWire(cancel)};
}

auto encodeEarlyCancelRemoval(const std::string &pool, const std::string &job) -> KeyedRecord
{
    return {poolPrefix(kEarlyCancelPrefix, pool) + job, ""};
}

auto findEarlyCancels(const std::string &pool, const std::vector<KeyedRecord> &records)
    -> EarlyCancels
{
    return findOfPool<EarlyCancel>(kEarlyCancelPrefix, pool, records);
}

} // namespace peridotwalk
