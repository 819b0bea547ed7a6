"""An idle runner restarts under its id, gets a task, and is cut off from all nodes soon after. It runs on."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent))
sys.dont_write_bytecode = True

from review.deployment import Deployment, main, new_id  # noqa: E402
from tests.soak.proxy import Proxy  # noqa: E402

UP_MS = 600_000  # The runners have been up for ten minutes.
DOWN_S = 1.0  # From the end of the runner's process until the next one serves.
IDLE_S = 4  # Before and after the restart.
CUT_AFTER_S = 0.9  # From the start of the task.
CUT_S = 5.5  # node_cut of servers has 5.5 s in vav-brno, at most.
TASK_MS = 20_000


class Case(Deployment):
    services = ["alpha"]
    runners_per_service = 0

    async def restart(self, runner):
        """Ends the runner's process, and starts another under the same id. It knows nothing of before."""
        proxy = self.proxies[runner.id]
        proxy.mode = "refuse"
        proxy.reset_all()
        self.record(f"runner: {runner.id} ends")
        runner.is_heard = False
        await asyncio.sleep(DOWN_S)
        runner.started, runner.started_ms = time.monotonic(), int(time.time() * 1000)
        runner.token, runner.lease_until_ms, runner.last_row = 0, 0, 0
        runner.running, runner.highest_ended_run, runner.finished = {}, {}, []
        runner.sequence, runner.is_heard = 1, True
        self.store.put("keyed.servers", runner.id, runner.entry(1))
        proxy.mode = "pass"
        self.record(f"runner: {runner.id} is back, its clock is at {runner.clock_ms()} ms")

    async def run(self):
        self.proxies = {}
        await self.start([self.route("q", "alpha")])
        for number in range(1, 6):
            async def address_of(port):
                proxy = self.proxies[None] = Proxy(port)
                return f"127.0.0.1:{await proxy.start()}"

            runner = await self.make_runner(number, "alpha", at_ms=UP_MS, address_of=address_of)
            self.proxies[runner.id] = self.proxies.pop(None)
        await asyncio.sleep(IDLE_S)
        runner = self.runners[0]
        if self.trouble:
            await self.restart(runner)
        await asyncio.sleep(IDLE_S)
        # At most one task on a runner, so one of them goes to the runner that has restarted.
        body = {"spec": "payload", "steps": [{"count": 5, "cpu": 1000, "memMb": 500, "estimateMs": TASK_MS,
                                              "maxPerServer": 1}]}
        await self.make_runner(6, "alpha")  # With room for a task that is started again.
        await asyncio.sleep(1)
        if not await self.submit("q", new_id(), body):
            raise RuntimeError("the submission wasn't accepted")
        for _ in range(200):
            if runner.running:
                break
            await asyncio.sleep(0.02)
        if not runner.running:
            raise RuntimeError("no task was started on the runner")
        await asyncio.sleep(CUT_AFTER_S)
        if self.trouble:
            proxy = self.proxies[runner.id]
            proxy.mode = "silent"
            self.record(f"network: {runner.id} is cut off from all nodes; its lease ends in "
                        f"{runner.lease_until_ms - runner.clock_ms()} ms")
            await asyncio.sleep(CUT_S)
            proxy.mode = "pass"
            proxy.reset_all()
            self.record(f"network: {runner.id} is back")
        await asyncio.sleep(14 if not self.trouble else 5)


if __name__ == "__main__":
    sys.exit(main(Case, pathlib.Path(__file__).resolve().parent))
