"""A new manifest sends a route to another service, while submissions that it accepted before still run."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent))
sys.dont_write_bytecode = True

from review.deployment import BOUNDS, Deployment, main, new_id  # noqa: E402

TASK_MS = 16_000
SETTLE_S = 0.5  # After the bound of the manifest.


class Case(Deployment):
    services = ["alpha", "beta"]

    async def run(self):
        # The second route keeps service beta in use in both manifests.
        other = self.route("other", "beta")
        await self.start([self.route("q", "alpha"), other])
        jobs = [new_id() for _ in range(9)]
        repeated, asked, cancelled = jobs[:3], jobs[3:6], jobs[6:]
        body = {"spec": "payload", "steps": [{"count": 2, "cpu": 1000, "memMb": 500, "estimateMs": TASK_MS}]}
        for job in jobs:
            if not await self.submit("q", job, body):
                raise RuntimeError("a submission wasn't accepted")
        await asyncio.sleep(1)
        # The version of TROUBLE=0 only changes a time-out.
        changed = self.route("q", "beta" if self.trouble else "alpha", timeoutMs=2900)
        self.put_manifest([changed, other])
        await asyncio.sleep(BOUNDS["configApplyMs"] / 1000 + SETTLE_S)
        for number, job in enumerate(repeated):
            # A request of an accepted submission that arrives again, seconds after its 2xx.
            await self.call(self.nodes[number % len(self.nodes)], "POST", f"/q/{job}", body)
        for job in asked:
            for node in self.nodes:
                status, _ = await self.call(node, "GET", f"/q/{job}")
                if status == 410 and self.record.now() - self.accepted[job] > BOUNDS["visible_ms"] / 1000:
                    self.broken(f"LOST a GET for {job}, accepted at {self.accepted[job]:.3f} and not cancelled, "
                                f"is answered 410 by {node.name} at {self.record.now():.3f}")
        acknowledged = {}
        for number, job in enumerate(cancelled):
            status, _ = await self.call(self.nodes[number % len(self.nodes)], "DELETE", f"/q/{job}")
            if 200 <= status < 300 or status == 410:
                acknowledged[job] = self.record.now()
        await asyncio.sleep((BOUNDS["cancel_ms"] + BOUNDS["stopMs"]) / 1000 + SETTLE_S)
        for job, at in acknowledged.items():
            runs = [task for task, on in self.running.items() if task.startswith(job) and on]
            if runs:
                self.broken(f"UNASKED the cancelling of {job} was acknowledged at {at:.3f}, and {runs} still run "
                            f"at {self.record.now():.3f}")
        await asyncio.sleep(TASK_MS / 1000)


if __name__ == "__main__":
    sys.exit(main(Case, pathlib.Path(__file__).resolve().parent))
