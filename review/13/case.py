"""A version of the manifest gives a tenant an upper limit, where the installation has more than 16 services."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from deployment_3 import BOUNDS, HOST, Deployment, Runner, run  # noqa: E402

SERVICES = 18
MAXIMUM_CPU = 400_000  # 18 submissions of one task with 3.2 cores each are 58 cores.
TASK_CPU = 3200
CALM_S, IDLE_S = 4.0, 3.0
WATCHED_S = 20.0


class Case(Deployment):
    def make_runners(self):
        return [Runner(self, number, rack=f"r1-{1 + number // 4}", service=f"service-{number}") for number in range(SERVICES)]

    def manifest(self, version=1, maximum_cpu=0):
        manifest = super().manifest()
        route = manifest["routes"][0]
        manifest["version"] = version
        manifest["routes"] = [{**route, "name": f"q{number}", "host": HOST, "pathPrefix": f"/q{number}/",
                               "service": f"service-{number}"} for number in range(SERVICES)]
        manifest["services"] = [{"name": f"service-{number}", "admissionControl": False} for number in range(SERVICES)]
        manifest["tenants"][0]["maximum"]["cpu"] = maximum_cpu
        return manifest

    async def play(self):
        if self.is_troubled:
            self.store.put("keyed.op", "config", self.manifest(2, MAXIMUM_CPU))
            self.record.note(f"version 2 of the manifest: the tenant's maximum is {MAXIMUM_CPU} (cpu)")
        await asyncio.sleep(BOUNDS["configApplyMs"] / 1000 + CALM_S)
        jobs = {}
        for number in range(SERVICES):
            job = await self.submit([{"count": 1, "cpu": TASK_CPU, "memMb": 9100, "estimateMs": 1000}], prefix=f"/q{number}/")
            if job is None:
                raise RuntimeError("a submission wasn't accepted")
            jobs[job] = (number, time.monotonic())
        await asyncio.sleep(WATCHED_S)
        highest = self.highest_use()
        for job, (number, accepted_at) in jobs.items():
            begun = [entry["at"] for entry in self.runs if entry["task"].startswith(job)]
            idle_s = min(begun, default=time.monotonic()) - accepted_at
            state = await self.state(job, prefix=f"/q{number}/")
            self.record.note(f"{job} on service-{number}: nothing running for {idle_s:.1f} s; it is {state}")
            if idle_s > IDLE_S:
                self.break_rule(f"LOST: {job} on service-{number} has had nothing running for {idle_s:.1f} s (bound {IDLE_S:.0f} s), "
                                f"its runner is idle, and its tenant has had at most {highest} of {MAXIMUM_CPU} running")

    def highest_use(self):
        moments = [entry["at"] for entry in self.runs]
        return max([sum(TASK_CPU for other in self.runs if other["at"] <= at and (other["end"] is None or other["end"] > at))
                    for at in moments], default=0)


run(Case(HERE))
