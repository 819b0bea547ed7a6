"""Machines lose power one after the other; their channels to the runners hang, and a runner takes 64 channels."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from deployment_3 import BOUNDS, Deployment, run  # noqa: E402

LOSSES = 5
DARK_S = 3.0  # node_kill, how power: up to 3.5 s on this site.
CALM_S, IDLE_S = 4.0, 3.0
WATCHED_S = 25.0
WIDE = [{"count": 24, "cpu": 3200, "memMb": 9100, "estimateMs": 1000}]  # As invoice-match: up to 24 tasks of 3.2 cores, 1 s.


class Case(Deployment):
    async def work(self):
        jobs = [await self.submit(WIDE) for _ in range(3)]
        for job in jobs:
            if job:
                await self.wait_state(job, ["completed"], 6)

    async def play(self):
        for _ in range(LOSSES):
            await self.work()
            if self.is_troubled:
                node = self.owner()
                if node is None:
                    raise RuntimeError("no node owns the service")
                await self.lose_power(node, DARK_S)
            await asyncio.sleep(2)
        await asyncio.sleep(BOUNDS["contactMs"] / 1000 + CALM_S)
        self.record.note(f"calm; channels at the runners: {[len(runner.channels.open) for runner in self.runners]}")
        job = await self.submit(WIDE)
        if job is None:
            raise RuntimeError("the submission wasn't accepted")
        accepted_at = time.monotonic()
        idle_s = 0.0
        last_at = accepted_at
        while time.monotonic() < accepted_at + WATCHED_S:
            await asyncio.sleep(0.05)
            if any(task.startswith(job) for runner in self.runners for task in runner.running):
                last_at = time.monotonic()
            idle_s = max(idle_s, time.monotonic() - last_at)
            if len([entry for entry in self.runs if entry["task"].startswith(job) and entry["how"] == "done"]) == 24:
                break
        state = await self.state(job)
        done = len([entry for entry in self.runs if entry["task"].startswith(job) and entry["how"] == "done"])
        self.record.note(f"{time.monotonic() - accepted_at:.1f} s after it was accepted the submission is {state}, {done} of its 24 "
                         f"tasks are done; longest time with nothing running: {idle_s:.1f} s")
        if idle_s > IDLE_S:
            self.break_rule(f"LOST: for {idle_s:.1f} s (bound {IDLE_S:.0f} s), after {CALM_S:.0f} s of calm, {job} had nothing "
                            f"running on idle runners; {done} of its 24 tasks are done")


run(Case(HERE))
