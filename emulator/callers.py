"""Callers that submit jobs, retry as the platform's callers do, and query job states."""

import asyncio
import json
import random

from emulator.web import call

DEADLINE_S = 3.0
MAX_ATTEMPTS = 5
HEADERS = {"Host": "jobs.example", "Authorization": "Bearer key-1", "X-Deadline-Ms": str(int(DEADLINE_S * 1000))}


class Callers:
    def __init__(self, ledger, ports, seed, per_second):
        self.ledger, self.ports, self.per_second = ledger, ports, per_second
        self.random = random.Random(seed)
        self.latencies_s = []  # Latency of each accepted submission in s, retries included.
        self.tasks = set()

    def make_job(self):
        steps = [{"count": self.random.randint(1, 4), "cpu": 1000, "memMb": 1000, "estimateMs": self.random.randint(100, 800)}]
        if self.random.random() < 0.4:
            steps.append({"count": self.random.randint(1, 3), "cpu": 1000, "memMb": 1000, "estimateMs": 300, "after": [0]})
        job_id = f"{self.random.getrandbits(64):016x}"
        return job_id, {"spec": f"payload {job_id}", "steps": steps}

    async def run(self, seconds):
        """Submits jobs at exponentially distributed intervals, and waits until each is accepted or given up."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            task = asyncio.ensure_future(self.submit(*self.make_job()))
            self.tasks.add(task)
            await asyncio.sleep(self.random.expovariate(self.per_second))
        await asyncio.gather(*self.tasks)

    async def submit(self, job_id, body):
        job = {"spec": body["spec"], "steps": body["steps"], "accepted": False, "refused": False}
        self.ledger.jobs[job_id] = job
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        refusals = 0
        for attempt in range(MAX_ATTEMPTS):
            try:
                status, _, _ = await call(
                    self.random.choice(self.ports), "POST", f"/q/{job_id}", body, HEADERS, DEADLINE_S + 0.5)
            except (OSError, TimeoutError, EOFError, asyncio.IncompleteReadError):
                status = 504
            if status == 200:
                job["accepted"] = True
                self.latencies_s.append(loop.time() - started_at)
                return
            refusals += status in (429, 503)
            if attempt + 1 < MAX_ATTEMPTS:
                await asyncio.sleep(0.2 * 2**attempt * self.random.uniform(0.5, 1.5))
        job["refused"] = refusals == MAX_ATTEMPTS

    async def state(self, job_id):
        """Returns the job's state from the first node that has it, "missing" if a node answers 410, or None."""
        for port in self.random.sample(self.ports, len(self.ports)):
            try:
                status, _, body = await call(port, "GET", f"/q/{job_id}", None, HEADERS, DEADLINE_S + 0.5)
            except (OSError, TimeoutError, EOFError, asyncio.IncompleteReadError):
                continue
            if status == 200:
                return json.loads(body)["state"]
            if status == 410:
                return "missing"
        return None
