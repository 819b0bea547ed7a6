#!/usr/bin/env python3
"""Cancelled jobs stay cancelled while owners are cut off, paused, replaced or killed (UNASKED).

    tests/soak/cancels.py --scenario cut --seed 7 [--program build/peridotwalk] [--keep FOLDER]

Callers submit by way of nodes of other zones, and cancel over open connections to nodes of the zone that is in
trouble. A task that starts over 3 s after its cancelling was answered with 2xx or 410 breaks UNASKED: exit code 1.
"""

import argparse
import asyncio
import collections
import contextlib
import json
import pathlib
import random
import signal
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT))

from emulator.callers import DEADLINE_S, HEADERS  # noqa: E402
from emulator.web import call, read_message, serve  # noqa: E402
from emulator.workers import Ledger, Worker  # noqa: E402
from tests.soak.proxy import Proxy  # noqa: E402
from tests.soak.soak import TENANT, Node, Soak  # noqa: E402

CANCEL_S = 3.0  # cancel_ms: a job's tasks start no later than this after its cancelling was acknowledged.
POOLS = 5
VERSIONS = [2, 3]  # Of the rules: one for each round.
CONNECTIONS = 20  # To each node, opened before the trouble.
NO_ANSWER = (OSError, TimeoutError, EOFError, asyncio.IncompleteReadError)


class ZoneNode(Node):
    """A node of a zone. Its store answers through a server of its own, which names the peers of other zones by the
    addresses of proxies."""

    async def connect(self, store, crossings):
        self.platform, self.crossings, self.fault = store, crossings, None
        _, self.store.target = await serve(self.handle)

    async def handle(self, request):
        if self.fault == "503":
            return 503, {}
        if self.fault == "rules" and request.query.get("topic") == "keyed.op":
            await asyncio.sleep(DEADLINE_S)
            return 503, {}
        status, answer = await self.platform.handle(request)
        if request.path.endswith("log-owners"):
            for row in answer["owners"]:
                name, number = row[2].partition("@")[0], row[2].partition("#")[2]
                if (self.zone, name) in self.crossings:
                    row[2] = f"{name}@127.0.0.1:{self.crossings[self.zone, name].port}#{number}"
        return status, answer


class CancelLedger(Ledger):
    def __init__(self):
        super().__init__()
        self.cancelled = {}  # Job to the time of the acknowledgement (steady clock), status, and name of the node.

    def check_start(self, worker, task, spec):
        super().check_start(worker, task, spec)
        job = task.partition(".")[0]
        at, status, node = self.cancelled.get(job, (time.monotonic(), 0, ""))
        late_s = time.monotonic() - at
        if late_s > CANCEL_S:
            self.fail(f"UNASKED {task} started under token {worker.token}, {late_s:.1f} s after {node} had answered its "
                      f"cancelling with {status}")
            self.cancelled.pop(job)  # Once for each job.


class Cancels(Soak):
    def __init__(self, options, folder):
        super().__init__(options, folder)
        self.random = random.Random(f"{options.scenario} {options.seed}")
        self.ledger, self.statuses = CancelLedger(), collections.Counter()
        self.record_file = open(folder / "callers.log", "w", buffering=1, encoding="utf-8")
        self.crossings = {}  # Zone and name of a node elsewhere to the proxy between them.
        self.idle = {}  # Name of a node to the open and idle connections to it.
        self.calls_everywhere = options.scenario in ("reassign", "rules")  # Not only to the zones as above.
        self.writers = []  # Of all connections.

    def record(self, event, **fields):
        self.record_file.write(json.dumps({"t": int(time.time() * 1000), "event": event, **fields}) + "\n")

    def manifest(self, version, moved=()):
        """Each queue leads to its pool; those that moved lead to the next one."""
        routes = [{"name": f"q{number}", "host": HEADERS["Host"], "pathPrefix": f"/q{number}/", "maxAttempts": 5,
                   "service": f"pool{(number + (number in moved)) % POOLS}"} for number in range(POOLS)]
        self.store.put("keyed.op", "config", {"version": version, "routes": routes, "tenants": [TENANT],
                                              "services": [{"name": f"pool{number}"} for number in range(POOLS)]})
        self.record("rules", version=version, moved=list(moved))

    async def start(self):
        self.manifest(1)
        for number in range(2 * POOLS):
            worker = Worker(self.store, self.ledger, number + 1, number, "zone-0", f"pool{number % POOLS}")
            worker.capacity = {"cpu": 64000, "memMb": 256000}
            await worker.start()
        zones = [f"zone-{number}" for number in range(self.random.choice([2, 2, 3]))]
        for number in range(self.random.randint(max(4, 2 * len(zones) - 1), 8)):
            node = ZoneNode(number, zones[number % len(zones)], self.options.program, self.folder, 0)
            await node.connect(self.store, self.crossings)
            for zone in set(zones) - {node.zone}:
                self.crossings[zone, node.name] = Proxy(node.peers)
                await self.crossings[zone, node.name].start()
            self.nodes.append(node)
        await self.start_nodes()
        await asyncio.sleep(3)  # Ownership settles.

    # Callers.

    async def ask(self, node, method, path):
        """One call over an open connection, or over a new one if none is idle. Returns 0 without an answer."""
        idle, status = self.idle.setdefault(node.name, []), 0
        headers = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
        with contextlib.suppress(*NO_ANSWER):
            if not idle:
                idle.append(await asyncio.open_connection("127.0.0.1", node.callers))
                self.writers.append(idle[-1][1])
            reader, writer = idle.pop()
            writer.write(f"{method} {path} HTTP/1.1\r\n{headers}Content-Length: 0\r\n\r\n".encode())
            line, _, _ = await asyncio.wait_for(read_message(reader), DEADLINE_S + 0.5)
            status = int(line.split(" ")[1])
            idle.append((reader, writer))
        return status

    async def submit(self, job, queue, body):
        """Returns whether a node accepted the job. Gives up without an answer, as a copy may then be on its way."""
        for _ in range(20):
            nodes = [node for node in self.nodes if self.calls_everywhere or node.zone != self.zone]
            node, status = self.random.choice(nodes), 0
            with contextlib.suppress(*NO_ANSWER):
                status, _, _ = await call(node.callers, "POST", f"/{queue}/{job}", body, HEADERS, DEADLINE_S + 0.5)
            self.record("POST", job=job, queue=queue, status=status, node=node.name)
            if status not in (429, 503):
                return status == 200
            await asyncio.sleep(self.random.uniform(0.1, 0.3))
        return False

    async def submit_and_cancel(self):
        number, job = self.random.randrange(POOLS), f"{self.random.getrandbits(64):016x}"
        queue, former = f"q{number}", self.owners[f"pool{number}"]
        step = {"count": 1, "cpu": 100, "memMb": 100, "estimateMs": 1200}
        body = {"spec": f"payload {job}", "steps": [step] + [{**step, "after": [earlier]} for earlier in range(6)]}
        self.ledger.jobs[job] = body
        if not await self.submit(job, queue, body):
            return
        self.statuses["accepted"] += 1
        await asyncio.sleep(self.random.choice([0, 0, self.random.uniform(0, 1), self.random.uniform(0, 4)]))
        for _ in range(8):
            node = self.pick_canceller(former)
            status = await self.ask(node, "DELETE", f"/{queue}/{job}")
            self.record("DELETE", job=job, queue=queue, status=status, node=node.name)
            if 200 <= status < 300 or status == 410:
                self.ledger.cancelled[job] = (time.monotonic(), status, node.name)
                self.statuses[status] += 1
                return
            await asyncio.sleep(self.random.uniform(0.1, 0.3))

    def pick_canceller(self, former):
        if self.random.random() < 0.6 and (self.calls_everywhere or former.zone == self.zone):
            return former
        return self.random.choice(self.nodes if self.calls_everywhere else self.troubled())

    async def load(self, tasks):
        per_second = self.random.choice([3, 10, 25])
        while True:
            tasks.add(asyncio.ensure_future(self.submit_and_cancel()))
            await asyncio.sleep(self.random.expovariate(per_second))

    def node(self, name):
        return next(node for node in self.nodes if node.name == name)

    def troubled(self):
        return [node for node in self.nodes if node.zone == self.zone]

    def find_owners(self):
        """Returns the node that owns each pool, by the store's group. A pool is the producer of its partition's records."""
        owner = next(iter(self.store.groups.values())).owner
        pools = {pool: owner[part] for parts in self.store.topics.values() for part, partition in parts.items()
                 for pool in partition.producers if pool.startswith("pool") and part in owner}
        return {pool: self.node(member.partition("@")[0]) for pool, member in pools.items()}

    # Faults.

    async def cut_zone(self, seconds, kinds=("silent", "503", "reset")):
        kind, with_peers = self.random.choice(kinds), self.random.random() < 0.6
        self.record("cut", zone=self.zone, kind=kind, with_peers=with_peers, seconds=round(seconds, 2))
        faulty = [proxy for (zone, name), proxy in self.crossings.items()
                  if with_peers and self.zone in (zone, self.node(name).zone)]
        for node in self.troubled():
            node.fault = kind
            if kind in ("silent", "reset"):
                faulty.append(node.store)
        for proxy in faulty:
            proxy.mode = "refuse" if kind == "reset" else "silent"
            if kind == "reset":
                proxy.reset_all()
        await asyncio.sleep(seconds)
        for node in self.troubled():
            node.fault = None
        for proxy in faulty:
            proxy.mode = "pass"
            proxy.reset_all()
        self.record("healed", zone=self.zone)

    async def after(self, seconds, fault):
        await asyncio.sleep(seconds)
        await fault

    async def pause(self, node, seconds):
        self.record("pause", node=node.name, seconds=round(seconds, 2))
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        node.signal(signal.SIGCONT)

    async def restart(self, node, seconds):
        self.record("restart", node=node.name, seconds=round(seconds, 2))
        node.signal(signal.SIGKILL)
        node.process.wait()
        self.idle[node.name] = []
        await asyncio.sleep(seconds)
        await node.start()

    async def cut_and(self, fault):
        """Cuts the zone, and injects a fault into each of its nodes that owns a pool, at moments of their own."""
        owners = {node.name: node for node in self.owners.values() if node.zone == self.zone}
        faults = [self.after(self.random.uniform(0, 4), fault(node, self.random.uniform(0.5, 4.5))) for node in owners.values()]
        await asyncio.gather(self.after(self.random.uniform(0, 1), self.cut_zone(self.random.uniform(1, 6))), *faults)

    async def reassign(self):
        for _ in range(self.random.randint(3, 6)):
            self.owners = {**self.owners, **self.find_owners()}
            self.zone = self.random.choice(list(self.owners.values())).zone
            pause = self.cut_zone if self.random.random() < 0.5 else asyncio.sleep
            trouble = asyncio.ensure_future(pause(self.random.uniform(0.3, 2)))
            await asyncio.sleep(self.random.uniform(0, 0.3))
            self.record("reassign", earlier={pool: node.name for pool, node in self.owners.items()})
            self.store.reassign_partitions()
            await asyncio.sleep(self.random.uniform(0.4, 2.5))
            await trouble

    async def change_rules(self):
        kinds = ["silent", "503", "reset", "rules", "rules", "rules"]
        cut = asyncio.ensure_future(self.cut_zone(self.random.uniform(3, 9), kinds))
        await asyncio.sleep(self.random.uniform(0, 2))
        self.manifest(self.version, self.random.sample(range(POOLS), 2))
        await cut

    async def run_workload(self):
        scenarios = {"cut": lambda: self.cut_zone(self.random.uniform(1.5, 7)), "pause": lambda: self.cut_and(self.pause),
                     "reassign": self.reassign, "rules": self.change_rules, "restart": lambda: self.cut_and(self.restart)}
        for self.version in VERSIONS:
            while len(self.find_owners()) < POOLS:
                await asyncio.sleep(0.1)
            self.owners = self.find_owners()
            self.zone = self.random.choice(list(self.owners.values())).zone
            await asyncio.gather(*(self.ask(node, "GET", "/q0/") for node in self.nodes for _ in range(CONNECTIONS)))
            tasks = set()
            load = asyncio.ensure_future(self.load(tasks))
            await asyncio.sleep(self.random.uniform(0.5, 2))
            await scenarios[self.options.scenario]()
            await asyncio.sleep(self.random.uniform(1, 5))
            load.cancel()
            await asyncio.gather(*tasks)
        await asyncio.sleep(CANCEL_S + 3)
        for writer in self.writers:
            writer.close()
        return self.ledger.violations


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--scenario", choices=["cut", "pause", "reassign", "rules", "restart"], required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--program", default=str(ROOT / "build" / "peridotwalk"))
    parser.add_argument("--keep", help="folder for the logs of nodes and callers")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        logs = pathlib.Path(options.keep or folder)
        logs.mkdir(parents=True, exist_ok=True)
        cancels = Cancels(options, logs)
        violations = asyncio.run(cancels.run())
    for text in violations:
        print("broken:", text)
    unasked = sum("UNASKED" in text for text in violations)
    print(f"cancels: scenario={options.scenario} seed={options.seed} nodes={len(cancels.nodes)} "
          f"answers={dict(cancels.statuses)} unasked={unasked} other={len(violations) - unasked}")
    return 1 if violations or not cancels.ledger.cancelled else 0


if __name__ == "__main__":
    sys.exit(main())
