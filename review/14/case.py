"""Open channels to the runners go silent for good. New ones work."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from deployment_3 import BOUNDS, Deployment, run  # noqa: E402

CALM_S = 4.0  # "if the 3 s and the 4 s before them are calm"
IDLE_S = 3.0


class Case(Deployment):
    async def play(self):
        # An ordinary morning: wide steps, as the sheet's invoice-match (6 tasks of 1 s on 3.2 cores, up to 24).
        for _ in range(4):
            jobs = [await self.submit([{"count": 24, "cpu": 3200, "memMb": 9100, "estimateMs": 1000}]) for _ in range(3)]
            for job in jobs:
                await self.wait_state(job, ["completed"], 15)
        await asyncio.sleep(1)
        if self.is_troubled:
            for runner in self.runners:
                self.record.note(f"{runner.channels.silence()} open channels to {runner.name} go silent for good")
        calm_at = time.monotonic() + BOUNDS["contactMs"] / 1000  # Then the machines are in touch again.
        await asyncio.sleep(0.2)
        job = await self.submit([{"count": 2, "cpu": 3200, "memMb": 9100, "estimateMs": 1000}])
        accepted_at = time.monotonic()
        if job is None:
            raise RuntimeError("the submission wasn't accepted")
        until = time.monotonic() + 45
        while time.monotonic() < until and not any(run["task"].startswith(job) for run in self.runs):
            await asyncio.sleep(0.05)
        begun = [run["at"] for run in self.runs if run["task"].startswith(job)]
        idle_until = min(begun, default=time.monotonic())
        self.record.note(f"the submission's first task began {idle_until - accepted_at:.1f} s after it was accepted")
        # Nothing runs from the acceptance on, and the runners are idle: the 3 s begin after 4 s of calm.
        from_at = max(accepted_at, calm_at + CALM_S)
        if idle_until - from_at > IDLE_S:
            self.break_rule(f"LOST: for {idle_until - from_at:.1f} s (bound {IDLE_S:.0f} s), after {CALM_S:.0f} s of calm, "
                            f"{job} had nothing running on idle runners")
        state = await self.wait_state(job, ["completed"], 30)
        self.record.note(f"at the end the submission is {state}")


run(Case(HERE))
