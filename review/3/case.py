"""One large submission among small ones. All of them have to end."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent))
sys.dont_write_bytecode = True

from review.deployment import BOUNDS, Deployment, main, new_id  # noqa: E402

LARGE_TASKS = 8000
TRAFFIC_S = 30
LARGE_AT_S = 5
PER_SECOND = 4
ANSWER_S = 12


class Case(Deployment):
    services = ["alpha"]
    runners_per_service = 6

    async def consumer(self):
        until = self.record.now() + TRAFFIC_S
        calls = set()
        while self.record.now() < until:
            job = new_id()
            body = {"spec": f"payload {job}", "steps": [{"count": 2, "cpu": 1000, "memMb": 500, "estimateMs": 600}]}
            calls.add(asyncio.ensure_future(self.submit("q", job, body)))
            await asyncio.sleep(random.uniform(0.5, 1.5) / PER_SECOND)
        await asyncio.gather(*calls)

    async def run(self):
        await self.start([self.route("q", "alpha")])
        traffic = asyncio.ensure_future(self.consumer())
        await asyncio.sleep(LARGE_AT_S)
        large = None
        if self.trouble:
            large = new_id()
            body = {"spec": "large", "steps": [{"count": LARGE_TASKS, "cpu": 20, "memMb": 20, "estimateMs": 4000,
                                               "checkpointing": True}]}
            if not await self.submit("q", large, body):
                raise RuntimeError("the large submission wasn't accepted")
        await traffic
        self.record.say(f"the traffic has ended, {len(self.accepted)} submissions are accepted")
        await asyncio.sleep(BOUNDS["finish_s"])
        left = await self.ask_until_ended(dict.fromkeys(self.accepted, "q"), ANSWER_S)
        last = max((start[0] for start in self.starts), default=0)
        idle_s = self.record.now() - max(last, max((end[0] for end in self.ends), default=0))
        if left and idle_s > 3 and not any(self.running.values()):
            small = [job for job in left if job != large]
            self.broken(f"LOST {len(left)} accepted submissions, {len(small)} of them small, have not ended, and nothing "
                        f"has run for {idle_s:.0f} s; states read: {sorted(map(str, set(left.values())))}; "
                        f"last start at {last:.1f} s")
        self.record.say(f"appends that the store refused: {self.store.refused_appends}")


if __name__ == "__main__":
    sys.exit(main(Case, pathlib.Path(__file__).resolve().parent))
