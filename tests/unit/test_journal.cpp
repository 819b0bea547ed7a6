// Encoding of jobs in the journal: a new owner restores what was written.

#include "journal/journal.h"

#include <criterion/criterion.h>

using namespace peridotwalk;

namespace {

auto makeJob() -> Job
{
    auto job = Job{};
    job.spec.id = "5c0e7a21d94b36f8";
    job.spec.pool = "pool";
    job.spec.payload = std::string("bytes \0 and more", 16);
    job.spec.steps.resize(2);
    job.spec.steps[0].count = 3;
    job.spec.steps[1].after = {0};
    job.acceptedAtMs = 17;
    job.occurrences[0] = makeOccurrence(job.spec);
    return job;
}

} // namespace

Test(journal, progress_is_restored_with_live_runs_as_unknown)
{
    auto  job = makeJob();
    auto &tasks = job.occurrences.at(0).steps[0];
    tasks[0].run = 1;
    tasks[0].endedRun = 1;
    tasks[0].isDone = true;
    tasks[1].run = 2;
    tasks[1].endedRun = 1;
    tasks[1].failures = 1;
    tasks[1].checkpoint = "c";
    tasks[1].worker = "w";
    tasks[1].phase = RunPhase::Running;
    job.state = JobState::Running;
    const auto restored = restoreJobs({encodeProgress(job), encodeJob(job)});
    cr_assert(restored.errors.empty());
    const auto &back = restored.jobs.at(job.spec.id);
    cr_assert_eq(back.spec.payload, job.spec.payload);
    cr_assert(back.state == JobState::Running);
    const auto &again = back.occurrences.at(0).steps[0];
    cr_assert(again[0].isDone);
    cr_assert(again[1].phase == RunPhase::Unknown);
    cr_assert_eq(again[1].worker, "w");
    cr_assert_eq(again[1].failures, 1);
    cr_assert_eq(again[1].checkpoint, "c");
    cr_assert_not(again[2].isLive());
}

Test(journal, an_unreadable_record_affects_no_other)
{
    const auto job = makeJob();
    const auto restored = restoreJobs({{"jbroken", "\xff\xff"}, encodeJob(job), {"pnobody", "x"}});
    cr_assert_eq(restored.jobs.size(), 1U);
    cr_assert_eq(restored.errors.size(), 2U);
}
