"""Callers that submit and cancel jobs, retry as the platform's callers do, and query job states."""

import asyncio
import json
import random
import time

from emulator.web import call, connect, exchange

DEADLINE_S = 3.0
MAX_ATTEMPTS = 5
MAX_CANCEL_ATTEMPTS = 12
CANCELLED_SHARE = 0.4
MAX_IDLE = 12  # Open connections to each node that wait for their next request.
NO_ANSWER = (OSError, TimeoutError, EOFError, asyncio.IncompleteReadError)
HEADERS = {"Host": "jobs.example", "Authorization": "Bearer key-1", "X-Deadline-Ms": str(int(DEADLINE_S * 1000))}


class Callers:
    def __init__(self, ledger, ports, seed, per_second):
        self.ledger, self.ports, self.per_second = ledger, ports, per_second
        self.random = random.Random(seed)
        self.latencies_s = []  # Latency of each accepted submission in s, retries included.
        self.tasks = set()
        self.idle = {port: [] for port in ports}

    def make_job(self, is_cancelled):
        job_id = f"{self.random.getrandbits(64):016x}"
        if is_cancelled and self.random.random() < 0.7:
            # Later steps and long tasks leave starts and stops to do seconds after the cancelling.
            lengths_ms = self.random.choice([[2500, 2500, 1000], [4000, 1000, 1000], [800] * 8, [20_000]])
            steps = [{"count": 1, "cpu": 1000, "memMb": 1000, "estimateMs": length_ms, "after": [step - 1] if step else []}
                     for step, length_ms in enumerate(lengths_ms)]
            return job_id, {"spec": f"payload {job_id}", "steps": steps}
        steps = [{"count": self.random.randint(1, 4), "cpu": 1000, "memMb": 1000, "estimateMs": self.random.randint(100, 800)}]
        if self.random.random() < 0.4:
            steps.append({"count": self.random.randint(1, 3), "cpu": 1000, "memMb": 1000, "estimateMs": 300, "after": [0]})
        return job_id, {"spec": f"payload {job_id}", "steps": steps}

    async def run(self, seconds):
        """Submits jobs at exponentially distributed intervals, and waits until each is accepted or given up."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            is_cancelled = self.random.random() < CANCELLED_SHARE
            job_id, body = self.make_job(is_cancelled)
            self.ledger.jobs[job_id] = {"spec": body["spec"], "steps": body["steps"], "accepted": False, "refused": False,
                                        "cancelled": False, "acknowledgement": None}
            submission = asyncio.ensure_future(self.submit(job_id, body))
            self.tasks.add(submission)
            if is_cancelled:
                self.tasks.add(asyncio.ensure_future(self.cancel(job_id, body, submission)))
            await asyncio.sleep(self.random.expovariate(self.per_second))
        await asyncio.gather(*self.tasks)
        for _, writer in [connection for idle in self.idle.values() for connection in idle]:
            writer.close()

    async def call(self, port, method, job_id, body=None):
        """Calls over a new or an open connection, which a caller keeps until its node closes it. Returns the status."""
        connection = self.idle[port].pop(0) if self.idle[port] and self.random.random() < 0.5 else None

        async def call_once():
            nonlocal connection
            connection = connection or await connect(port)
            return await exchange(connection, method, f"/q/{job_id}", body, HEADERS)

        try:
            status, _, _ = await asyncio.wait_for(call_once(), DEADLINE_S + 0.5)
        except (*NO_ANSWER, asyncio.TimeoutError):
            if connection:
                connection[1].close()
            return 504
        if len(self.idle[port]) < MAX_IDLE:
            self.idle[port].append(connection)
        else:
            connection[1].close()
        return status

    async def cancel(self, job_id, body, submission):
        """Cancels a job at a random moment, until that is acknowledged or given up. At times repeats the submission."""
        job = self.ledger.jobs[job_id]
        moment = self.random.random()
        if moment < 0.2:
            await asyncio.sleep(self.random.uniform(0, 0.1))
        else:
            await submission
            await asyncio.sleep(self.random.uniform(0, 0.6) if moment < 0.6 else self.random.uniform(1, 4))
        job["cancelled"] = True
        for attempt in range(MAX_CANCEL_ATTEMPTS):
            was_accepted = job["accepted"]
            port = self.random.choice(self.ports)
            status = await self.call(port, "DELETE", job_id)
            if status == 410 or 200 <= status < 300:
                known = "an accepted" if was_accepted else "an unanswered"
                job["acknowledgement"] = (time.monotonic(), f"by node {self.ports.index(port)} with {status} for {known} job")
                break
            await asyncio.sleep(self.random.uniform(0.1, 0.8))
        if job["accepted"] and self.random.random() < 0.2:
            await asyncio.sleep(self.random.uniform(0, 4))
            await self.call(self.random.choice(self.ports), "POST", job_id, body)

    async def submit(self, job_id, body):
        job = self.ledger.jobs[job_id]
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        refusals = 0
        for attempt in range(MAX_ATTEMPTS):
            if attempt and job["cancelled"]:
                return
            status = await self.call(self.random.choice(self.ports), "POST", job_id, body)
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
            except NO_ANSWER:
                continue
            if status == 200:
                return json.loads(body)["state"]
            if status == 410:
                return "missing"
        return None
