#include "jobs/jobs.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace peridotwalk {

namespace {

auto badJob(std::string_view reason) -> absl::Status
{
    return makeError(absl::StatusCode::kInvalidArgument, "job.check", "caller", reason);
}

auto isAmount(std::int64_t value) -> bool
{
    return value >= 0 && value <= kMaxAmount;
}

auto checkStep(const StepSpec &step, std::int64_t number) -> absl::Status
{
    if (step.count < 1 || step.count > kMaxTasksPerStep) {
        return badJob(fmt::format("steps[{}]: the count of tasks is outside 1 to {}", number,
                                  kMaxTasksPerStep));
    }
    for (const auto amount :
         {step.need.cpu, step.need.memoryMb, step.need.accelerators, step.estimateMs,
          step.maxPerWorker, step.maxUnavailable, step.latencyTargetMs}) {
        if (!isAmount(amount)) {
            return badJob(fmt::format("steps[{}]: an amount is out of range", number));
        }
    }
    // Steps may depend on earlier ones only, so the graph has no cycle.
    for (const auto earlier : step.after) {
        if (earlier < 0 || earlier >= number) {
            return badJob(fmt::format("steps[{}]: it may only wait for earlier steps", number));
        }
    }
    return absl::OkStatus();
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] ResourceSet
//-----------------------------------------------------------------------------

auto ResourceSet::operator+=(const ResourceSet &other) -> ResourceSet &
{
    cpu += other.cpu;
    memoryMb += other.memoryMb;
    accelerators += other.accelerators;
    return *this;
}

auto ResourceSet::operator-=(const ResourceSet &other) -> ResourceSet &
{
    cpu -= other.cpu;
    memoryMb -= other.memoryMb;
    accelerators -= other.accelerators;
    return *this;
}

auto ResourceSet::operator*(std::int64_t times) const -> ResourceSet
{
    return {cpu * times, memoryMb * times, accelerators * times};
}

auto ResourceSet::fits(const ResourceSet &free) const -> bool
{
    return cpu <= free.cpu && memoryMb <= free.memoryMb && accelerators <= free.accelerators;
}

auto ResourceSet::isInRange() const -> bool
{
    return isAmount(cpu) && isAmount(memoryMb) && isAmount(accelerators);
}

//-----------------------------------------------------------------------------
// [SECTION] Specification
//-----------------------------------------------------------------------------

auto checkJob(const JobSpec &spec) -> absl::Status
{
    if (spec.steps.empty() || spec.steps.size() > kMaxSteps) {
        return badJob(fmt::format("the number of steps is outside 1 to {}", kMaxSteps));
    }
    for (std::size_t number = 0; number < spec.steps.size(); ++number) {
        auto status = checkStep(spec.steps[number], static_cast<std::int64_t>(number));
        if (!status.ok()) {
            return status;
        }
    }
    if (spec.occurrences < 0 || spec.occurrences > kMaxOccurrences || !isAmount(spec.intervalMs)
        || spec.startAtMs < 0 || spec.startAtMs > kMaxWallMs) {
        return badJob("the schedule is out of range");
    }
    if (spec.maxAttempts < 0) {
        return badJob("the maximum of attempts is negative");
    }
    return absl::OkStatus();
}

//-----------------------------------------------------------------------------
// [SECTION] Progress
//-----------------------------------------------------------------------------

auto TaskRef::operator<(const TaskRef &other) const -> bool
{
    return std::tie(job, occurrence, step, index)
        < std::tie(other.job, other.occurrence, other.step, other.index);
}

//-----------------------------------------------------------------------------
// [SECTION] Queries
//-----------------------------------------------------------------------------

auto stateName(JobState state) -> std::string_view
{
    switch (state) {
    case JobState::Queued:
        return "queued";
    case JobState::Running:
        return "running";
    case JobState::Completed:
        return "completed";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        break;
    }
    return "cancelled";
}

auto occurrenceCount(const JobSpec &spec) -> std::int64_t
{
    return std::max<std::int64_t>(1, spec.occurrences);
}

auto taskCount(const JobSpec &spec) -> std::int64_t
{
    std::int64_t count = 0;
    for (const auto &step : spec.steps) {
        count += step.count;
    }
    return count;
}

auto occurrenceDueMs(const JobSpec &spec, std::int64_t occurrence) -> std::int64_t
{
    return spec.occurrences == 0 ? 0 : spec.startAtMs + occurrence * spec.intervalMs;
}

auto makeOccurrence(const JobSpec &spec) -> Occurrence
{
    auto made = Occurrence{};
    for (const auto &step : spec.steps) {
        made.steps.emplace_back(static_cast<std::size_t>(step.count));
    }
    return made;
}

auto isStepDone(const Occurrence &occurrence, std::int64_t step) -> bool
{
    return std::ranges::all_of(occurrence.steps[static_cast<std::size_t>(step)], &JobTask::isDone);
}

auto isStepReady(const JobSpec &spec, const Occurrence &occurrence, std::int64_t step) -> bool
{
    return std::ranges::all_of(spec.steps[static_cast<std::size_t>(step)].after,
                               [&](auto earlier) { return isStepDone(occurrence, earlier); });
}

auto isOccurrenceDone(const Occurrence &occurrence) -> bool
{
    return std::ranges::all_of(occurrence.steps, [](const auto &tasks) {
        return std::ranges::all_of(tasks, &JobTask::isDone);
    });
}

auto findTask(Job &job, const TaskRef &ref) -> JobTask *
{
    const auto found = job.occurrences.find(ref.occurrence);
    if (found == job.occurrences.end() || ref.step < 0 || ref.index < 0
        || ref.step >= std::ssize(found->second.steps)) {
        return nullptr;
    }
    auto &tasks = found->second.steps[static_cast<std::size_t>(ref.step)];
    return ref.index < std::ssize(tasks) ? &tasks[static_cast<std::size_t>(ref.index)] : nullptr;
}

auto remainingWork(const JobSpec &spec, const Occurrence &occurrence) -> std::int64_t
{
    std::int64_t work = 0;
    for (std::size_t step = 0; step < spec.steps.size(); ++step) {
        const auto left = std::ranges::count_if(occurrence.steps[step],
                                                [](const JobTask &task) { return !task.isDone; });
        work += left * (spec.steps[step].need.cpu * spec.steps[step].estimateMs / 1'000);
    }
    return work;
}

} // namespace peridotwalk
