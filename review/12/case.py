"""A start order is left unanswered and carried out late; its runner has crashed and started again under its id meanwhile."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from deployment_3 import Deployment, Runner, run  # noqa: E402

LATE_S = 7.0  # "carried out 2 to 12 s later"
DOWN_S = 2.0
WORK_S = 8.0


class Case(Deployment):
    held = None  # The order that is held up on its way: when, to whom, what.

    def make_runners(self):
        return [Runner(self, number, rack=f"r1-{1 + number}") for number in range(3)]

    async def on_order(self, runner, name, body):
        if name == "run-start" and self.is_troubled and self.held is None:
            self.record.note(f"the start of {body['task']} run {body['run']} to {runner.name} is held up, and gets no answer")
            self.held = (time.monotonic(), runner, body)
            await asyncio.sleep(3)
            return "no answer"
        return None

    async def play(self):
        for runner in self.runners:
            runner.on_order = self.on_order
        job = await self.submit([{"count": 1, "cpu": 3200, "memMb": 9100, "estimateMs": int(WORK_S * 1000)}])
        while not self.runs:
            await asyncio.sleep(0.02)
        first = self.runs[0]["runner"]
        # Other work, so that another runner has less room: tasks go where they fit tightly.
        other = next(runner for runner in self.runners if runner is not first)
        await self.submit([{"count": 1, "cpu": 58000, "memMb": 240000, "estimateMs": 60000, "requires": other.rack}])
        await asyncio.sleep(1.5)
        if self.is_troubled:
            sent_at, runner, body = self.held
            self.record.note(f"{runner.name} crashes")
            runner.crash()
            await asyncio.sleep(DOWN_S)
            await runner.start()
            self.record.note(f"{runner.name} has started again under its id {runner.id}: it knows nothing of before")
            await asyncio.sleep(max(0, sent_at + LATE_S - time.monotonic()))
            status, answer = await runner.carry_out("run-start", body, runner.id)
            self.record.note(f"the order that was held up is carried out after {time.monotonic() - sent_at:.1f} s: {status} {answer}")
        await asyncio.sleep(WORK_S + 4)
        runs = [entry for entry in self.runs if entry["task"].startswith(job)]
        for number, one in enumerate(runs):
            for two in runs[number + 1 :]:
                both_s = min(one["end"] or time.monotonic(), two["end"] or time.monotonic()) - max(one["at"], two["at"])
                if both_s > 0.05:
                    self.break_rule(f"TWICE: for {both_s:.1f} s run {one['run']} of {one['task']} is at work on "
                                    f"{one['runner'].name} and run {two['run']} on {two['runner'].name}")
        ends = [entry["how"] for entry in runs].count("done")
        self.record.note(f"{len(runs)} runs of the task, {ends} of them to their end")


run(Case(HERE))
