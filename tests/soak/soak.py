#!/usr/bin/env python3
"""Randomized soak: real nodes as separate processes against the emulator, with faults from outside.

    tests/soak/soak.py --seed 7 --seconds 20 [--nodes 4] [--workers 8] [--program build/peridotwalk]

Checks what callers and workers observe: no task runs twice, none exceeds a worker's capacity, none starts before the
steps that it depends on, none runs without a job or after its cancelling was acknowledged, no refused job runs, and no
accepted job is lost. Prints the violations and exits with 1 if there are any.
"""

import argparse
import asyncio
import contextlib
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT))

from emulator.callers import Callers  # noqa: E402
from emulator.store import Store  # noqa: E402
from emulator.web import call, serve  # noqa: E402
from emulator.workers import Ledger, Worker  # noqa: E402
from tests.soak.proxy import Proxy  # noqa: E402

READY_S = 15  # Startup of all nodes. The store assigns the partitions within a few seconds.
STOP_S = 10  # From the last fault, or a later acknowledgement, until the tasks of a cancelled job have been stopped.
SETTLE_S = 40  # From the last fault until every accepted job has ended: leases, takeovers and run times.
KILL_AFTER_S = 6  # From SIGTERM to SIGKILL, as on the platform.
NODE_PORTS = (15_000, 30_000)
TENANT = {"name": "team", "apiKeys": ["key-1"], "weight": 1}


def free_port(used=set()):  # noqa: B006: the default is shared by all calls, so no port is returned twice.
    """Returns a free port below the ephemeral range, whose ports outgoing connections may take at any time."""
    for port in random.SystemRandom().sample(range(*NODE_PORTS), 200):
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            if port not in used:
                used.add(port)
                return port
    raise RuntimeError("no port is free")


class Node:
    """One node process, with its own proxy to the store."""

    def __init__(self, number, zone, program, folder, store_port):
        self.name, self.zone = f"node-{number}", zone
        self.program, self.folder = program, folder
        self.store = Proxy(store_port)
        self.callers, self.ready, self.peers = free_port(), free_port(), free_port()
        self.process = None
        self.restarting = asyncio.Lock()  # Only one process at a time can use the node's addresses.

    async def start(self):
        if self.process is None:
            await self.store.start()
        settings = {
            "name": self.name,
            "zone": self.zone,
            "listen": {"callers": f"127.0.0.1:{self.callers}", "ready": f"127.0.0.1:{self.ready}", "peers": f"127.0.0.1:{self.peers}"},
            "store": {"address": f"127.0.0.1:{self.store.port}"},
        }
        file = self.folder / f"{self.name}.json"
        file.write_text(json.dumps(settings))
        log = open(self.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen([self.program, "node", "--settings", file], stdout=log, stderr=log)

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def stop(self):
        """Stops the process as the platform does. Returns whether it exited before SIGKILL."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        for _ in range(KILL_AFTER_S * 20):
            if self.process.poll() is not None:
                return True
            await asyncio.sleep(0.05)
        self.signal(signal.SIGKILL)
        self.process.wait()
        return False

    async def is_ready(self):
        with contextlib.suppress(OSError, TimeoutError, EOFError, asyncio.IncompleteReadError):
            status, _, _ = await call(self.ready, "GET", "/ready", timeout=1)
            return status == 200
        return False


class Soak:
    def __init__(self, options, folder):
        self.options, self.folder = options, folder
        self.random = random.Random(options.seed)
        self.store, self.ledger = Store(), Ledger()
        self.store.fault = self.store_fault
        self.store_mode = "up"  # "up", "down", "silent", or "losing" (some answers): see store_fault().
        self.nodes, self.workers, self.proxies = [], [], {}
        self.workers_started = 0
        self.zones = ["zone-a", "zone-b", "zone-c"][: self.random.randint(2, 3)]

    def store_fault(self, _request):
        if self.store_mode == "losing":
            return "lost" if self.random.random() < 0.3 else None
        return {"up": None, "down": "unavailable", "silent": "silent"}[self.store_mode]

    async def start(self):
        _, self.store_port = await serve(self.store.handle)
        _, self.failing_port = await serve(self.fail_request)
        route = {"name": "q", "host": "jobs.example", "pathPrefix": "/q/", "service": "pool", "maxAttempts": 5}
        self.store.put("keyed.op", "config", {"version": 1, "routes": [route], "services": [{"name": "pool"}], "tenants": [TENANT]})
        for _ in range(self.options.workers):
            await self.add_worker()
        self.nodes = [Node(number, self.zones[number % len(self.zones)], self.options.program, self.folder, self.store_port)
                      for number in range(self.options.nodes)]
        await self.start_nodes()

    async def start_nodes(self):
        for node in self.nodes:
            await node.start()
        for _ in range(READY_S * 10):
            if all([await node.is_ready() for node in self.nodes]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the nodes didn't get ready")

    async def fail_request(self, _request):
        return 503, {}

    async def add_worker(self):
        self.workers_started += 1
        zone = self.zones[self.workers_started % len(self.zones)]
        worker = Worker(self.store, self.ledger, self.workers_started, self.random.getrandbits(32), zone)

        async def address_of(port):
            self.proxies[worker.id] = Proxy(port)
            return f"127.0.0.1:{await self.proxies[worker.id].start()}"

        await worker.start(address_of)
        self.workers.append(worker)

    # Faults. Each method returns when its fault is over. Several faults overlap.

    async def kill_node(self, node=None):
        node = node or self.random.choice(self.nodes)
        async with node.restarting:
            node.signal(signal.SIGKILL)
            node.process.wait()
            await asyncio.sleep(self.random.uniform(0.1, 4))
            await node.start()

    async def roll_node(self):
        node = self.random.choice(self.nodes)
        async with node.restarting:
            await node.stop()
            await node.start()

    async def pause_node(self, node=None):
        node = node or self.random.choice(self.nodes)
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.5, 6))
        node.signal(signal.SIGCONT)

    async def reload_node(self):
        self.random.choice(self.nodes).signal(signal.SIGHUP)

    async def isolate_node_from_store(self):
        await self.inject_proxy_fault(self.random.choice(self.nodes).store)

    async def isolate_worker(self):
        await self.inject_proxy_fault(self.proxies[self.random.choice(self.workers).id])

    async def inject_proxy_fault(self, proxy):
        proxy.mode = self.random.choice(["delay", "silent", "one_way", "refuse"])
        proxy.delay_s = self.random.uniform(0.05, 0.6)
        if self.random.random() < 0.5:
            proxy.reset_all()
        await asyncio.sleep(self.random.uniform(0.5, 7))
        proxy.mode = "pass"
        if self.random.random() < 0.5:
            proxy.reset_all()

    async def isolate_zone_from_store(self):
        """Takes the store from all nodes of a zone, once or twice, while some of the nodes or the other zones' stand still
        or end, or partitions are reassigned."""
        zone = self.random.choice(self.zones)
        nodes = [node for node in self.nodes if node.zone == zone]
        others = [node for node in self.nodes if node.zone != zone]
        overlapping = []
        for _ in range(self.random.randint(1, 2)):
            mode = self.random.choice(["silent", "one_way", "refuse", "reset", "unavailable"])
            for node in nodes:
                node.store.mode = {"reset": "refuse", "unavailable": "pass"}.get(mode, mode)
                node.store.target = self.failing_port if mode == "unavailable" else self.store_port
                if mode in ("reset", "unavailable") or self.random.random() < 0.5:
                    node.store.reset_all()
            for fault in self.random.sample([self.pause_node, self.kill_node, None, None], 2):
                for node in self.random.choice([nodes, nodes[:1], others]) if fault else []:
                    overlapping.append(asyncio.ensure_future(fault(node)))
            if self.random.random() < 0.5:
                overlapping.append(asyncio.ensure_future(self.reassign_partitions()))
            await asyncio.sleep(self.random.uniform(0.5, 6))
            for node in nodes:
                node.store.mode, node.store.target = "pass", self.store_port
                if mode == "unavailable" or self.random.random() < 0.5:
                    node.store.reset_all()
            await asyncio.sleep(self.random.uniform(0.1, 1))
        await asyncio.gather(*overlapping)

    async def inject_store_fault(self):
        self.store_mode = self.random.choice(["down", "silent", "losing"])
        await asyncio.sleep(self.random.uniform(0.5, 5))
        self.store_mode = "up"

    async def truncate_history(self):
        self.store.truncate_history()

    async def reassign_partitions(self):
        """In series, at times faster than nodes renew."""
        for _ in range(self.random.randint(1, 4)):
            self.store.reassign_partitions()
            await asyncio.sleep(self.random.uniform(0.05, 0.6))

    async def crash_worker(self):
        worker = self.random.choice(self.workers)
        self.workers.remove(worker)
        await worker.crash()
        await self.add_worker()

    async def inject(self, seconds):
        faults = [self.kill_node, self.roll_node, self.pause_node, self.reload_node, self.isolate_node_from_store,
                  self.isolate_worker, self.inject_store_fault, self.truncate_history, self.reassign_partitions,
                  self.crash_worker, self.isolate_zone_from_store, self.isolate_zone_from_store]
        running_faults = set()
        until = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < until:
            fault = self.random.choice(faults)
            print(f"soak: {fault.__name__}", flush=True)
            running_faults.add(asyncio.ensure_future(fault()))
            await asyncio.sleep(self.random.uniform(0.2, 3))
        await asyncio.gather(*running_faults)

    async def await_jobs(self, callers):
        """Waits until every accepted job has ended. A job that is lost or hasn't ended in time is a violation."""
        open_jobs = [job_id for job_id, job in self.ledger.jobs.items() if job["accepted"]]
        for _ in range(SETTLE_S):
            remaining = []
            for job_id in open_jobs:
                state = await callers.state(job_id)
                is_cancelled = self.ledger.jobs[job_id]["cancelled"]
                if state == "cancelled" and not is_cancelled:
                    self.ledger.fail(f"LOST {job_id} is shown as cancelled, and nobody has cancelled it")
                elif state == "missing" and not is_cancelled:
                    self.ledger.fail(f"LOST {job_id} is accepted, and no node knows it")
                elif state not in ("completed", "failed", "cancelled", "missing"):
                    remaining.append(job_id)
            open_jobs = remaining
            if not open_jobs:
                return
            await asyncio.sleep(1)
        for job_id in open_jobs:
            self.ledger.fail(f"LOST {job_id} is accepted and isn't over {SETTLE_S} s after the last fault")

    async def await_stops(self):
        """Waits until no task of a cancelled job runs. Called once faults and callers have ended."""
        until = asyncio.get_running_loop().time() + STOP_S
        while running := self.ledger.running_cancelled():
            if asyncio.get_running_loop().time() > until:
                for task in running:
                    self.ledger.fail(f"UNASKED {task} still runs on {sorted(self.ledger.running[task])}, "
                                     f"{self.ledger.since_cancelled_s(task.split('.')[0]):.1f} s after its cancelling was "
                                     f"acknowledged, {self.ledger.jobs[task.split('.')[0]]['acknowledgement'][1]}")
                return
            await asyncio.sleep(0.1)

    async def run(self):
        try:
            await self.start()
            return await self.run_workload()
        finally:
            self.end_processes()
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            await asyncio.sleep(0.2)  # Let connections close before the event loop does.

    async def run_workload(self):
        callers = Callers(self.ledger, [node.callers for node in self.nodes], self.options.seed, self.options.rate)
        await asyncio.gather(callers.run(self.options.seconds), self.inject(self.options.seconds))
        await asyncio.gather(self.await_stops(), self.await_jobs(callers))
        for job_id, job in self.ledger.jobs.items():
            if job["refused"] and any(task.startswith(job_id) for task in self.ledger.ended_done):
                self.ledger.fail(f"REFUSED {job_id} was refused each time, and ran")
        latencies_s = sorted(callers.latencies_s) or [0]
        accepted = sum(job["accepted"] for job in self.ledger.jobs.values())
        cancelled = sum(job["acknowledgement"] is not None for job in self.ledger.jobs.values())
        print(f"soak: seed={self.options.seed} jobs={len(self.ledger.jobs)} accepted={accepted} cancelled={cancelled} "
              f"starts={self.ledger.starts} "
              f"p50_ms={1000 * latencies_s[len(latencies_s) // 2]:.0f} "
              f"p99_ms={1000 * latencies_s[len(latencies_s) * 99 // 100]:.0f} broken={len(self.ledger.violations)}")
        if accepted == 0:
            self.ledger.fail("nothing was accepted")
        return self.ledger.violations

    def end_processes(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20, help="duration of the faults")
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--rate", type=float, default=6, help="jobs a second")
    parser.add_argument("--program", default=str(ROOT / "build" / "peridotwalk"))
    parser.add_argument("--keep", help="folder for the nodes' logs")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        logs = pathlib.Path(options.keep or folder)
        logs.mkdir(parents=True, exist_ok=True)
        soak = Soak(options, logs)
        violations = asyncio.run(soak.run())
    for text in violations:
        print("broken:", text)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
