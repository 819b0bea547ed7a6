"""All partitions are reassigned twice within a quarter of a second. Afterwards every accepted submission has to end."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent))
sys.dont_write_bytecode = True

from review.deployment import BOUNDS, Deployment, main, new_id  # noqa: E402

GAP_S = 0.25  # Between the two reassignments.
TRAFFIC_S = 24
REASSIGNED_AT_S = 10
PER_SECOND = 10
ANSWER_S = 20  # Time for the answers after finish_s.


class Case(Deployment):
    nodes_count = 2
    stagger_s = 0.2
    services = ["matching", "reconcile", "cards", "grants"]

    async def consumer(self):
        until = self.record.now() + TRAFFIC_S
        calls = set()
        while self.record.now() < until:
            queue = random.choice(self.services)
            job = new_id()
            body = {"spec": f"payload {job}", "steps": [{"count": 3, "cpu": 1000, "memMb": 500, "estimateMs": 1200}]}
            self.queues[job] = queue
            calls.add(asyncio.ensure_future(self.submit(queue, job, body)))
            await asyncio.sleep(1 / PER_SECOND)
        await asyncio.gather(*calls)

    async def run(self):
        self.queues = {}
        await self.start([self.route(name, name) for name in self.services])
        traffic = asyncio.ensure_future(self.consumer())
        await asyncio.sleep(REASSIGNED_AT_S)
        if self.trouble:
            self.store.deal_anew()
            await asyncio.sleep(GAP_S)
            self.store.deal_anew()
        await traffic
        self.record.say(f"the traffic has ended, {len(self.accepted)} submissions are accepted")
        await asyncio.sleep(BOUNDS["finish_s"])
        left = await self.ask_until_ended(self.queues, ANSWER_S)
        for name in self.services:
            lost = [job for job in left if self.queues[job] == name]
            if not lost:
                continue
            running = sum(len(self.running.get(f"{job}.0.0.{index}", ())) for job in lost for index in range(3))
            seen = sorted({str(left[job]) for job in lost})
            if running == 0:
                self.broken(f"LOST {len(lost)} accepted submissions of {name} have nothing running, and no end, "
                            f"{BOUNDS['finish_s'] + ANSWER_S} s after the traffic; states read: {seen}; first {lost[0]}")
        last = max((start[0] for start in self.starts), default=0)
        self.record.say(f"{len(left)} of {len(self.accepted)} accepted submissions have not ended; last start at {last:.1f} s")


if __name__ == "__main__":
    sys.exit(main(Case, pathlib.Path(__file__).resolve().parent))
