#!/usr/bin/env python3
"""Randomized soak: real nodes as separate processes against the emulator, with faults from outside.

    tests/soak/soak.py --seed 7 --seconds 20 [--nodes 4] [--workers 8] [--program build/peridotwalk]

Checks what callers and workers see: no task twice, none over a worker's room, none before its turn, none that
nobody asked for, nothing run that was refused, and nothing accepted that is lost. Exit code 1 names what broke.
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

READY_S = 15  # All nodes start together; the store deals pools within a few seconds.
SETTLE_S = 40  # From the last fault until every accepted job is over: leases, takeovers and the work itself.
GRACE_S = 6  # From SIGTERM to SIGKILL, as the platform does.
NODE_PORTS = (15_000, 30_000)
TENANT = {"name": "team", "apiKeys": ["key-1"], "weight": 1}


def free_port(used=set()):  # noqa: B006: ports that were handed out stay handed out.
    """Returns a port below the ephemeral ones, which outgoing connections take at any time."""
    for port in random.SystemRandom().sample(range(*NODE_PORTS), 200):
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            if port not in used:
                used.add(port)
                return port
    raise RuntimeError("no port is free")


class Node:
    """One process of the product, with a proxy of its own to the store."""

    def __init__(self, number, program, folder, store_port):
        self.name = f"node-{number}"
        self.program, self.folder = program, folder
        self.store = Proxy(store_port)
        self.callers, self.ready, self.peers = free_port(), free_port(), free_port()
        self.process = None
        self.restarting = asyncio.Lock()  # One process at a time has the node's addresses.

    async def start(self):
        if self.process is None:
            await self.store.start()
        settings = {
            "name": self.name,
            "zone": "zone-a",
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
        """Ends the process as the platform does, and returns whether it ended by itself."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        for _ in range(GRACE_S * 20):
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
        self.store_mode = "up"
        self.nodes, self.workers, self.proxies = [], [], {}
        self.lives = 0

    def store_fault(self, _request):
        if self.store_mode == "losing":
            return "lost" if self.random.random() < 0.3 else None
        return {"up": None, "down": "unavailable", "silent": "silent"}[self.store_mode]

    async def start(self):
        _, store_port = await serve(self.store.handle)
        route = {"name": "q", "host": "jobs.example", "pathPrefix": "/q/", "service": "pool", "maxAttempts": 5}
        self.store.put("keyed.op", "config", {"version": 1, "routes": [route], "services": [{"name": "pool"}], "tenants": [TENANT]})
        for _ in range(self.options.workers):
            await self.add_worker()
        self.nodes = [Node(number, self.options.program, self.folder, store_port) for number in range(self.options.nodes)]
        for node in self.nodes:
            await node.start()
        for _ in range(READY_S * 10):
            if all([await node.is_ready() for node in self.nodes]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the nodes didn't get ready")

    async def add_worker(self):
        self.lives += 1
        worker = Worker(self.store, self.ledger, self.lives, self.random.getrandbits(32), "zone-a")

        async def address_of(port):
            self.proxies[worker.id] = Proxy(port)
            return f"127.0.0.1:{await self.proxies[worker.id].start()}"

        await worker.start(address_of)
        self.workers.append(worker)

    # Faults. Each returns when it is over; several are under way at a time.

    async def kill_node(self):
        node = self.random.choice(self.nodes)
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

    async def pause_node(self):
        node = self.random.choice(self.nodes)
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.5, 6))
        node.signal(signal.SIGCONT)

    async def reload_node(self):
        self.random.choice(self.nodes).signal(signal.SIGHUP)

    async def cut_store_from_node(self):
        await self.disturb(self.random.choice(self.nodes).store)

    async def cut_worker(self):
        await self.disturb(self.proxies[self.random.choice(self.workers).id])

    async def disturb(self, proxy):
        proxy.mode = self.random.choice(["delay", "silent", "one_way", "refuse"])
        proxy.delay_s = self.random.uniform(0.05, 0.6)
        if self.random.random() < 0.5:
            proxy.reset_all()
        await asyncio.sleep(self.random.uniform(0.5, 7))
        proxy.mode = "pass"
        if self.random.random() < 0.5:
            proxy.reset_all()

    async def disturb_store(self):
        self.store_mode = self.random.choice(["down", "silent", "losing"])
        await asyncio.sleep(self.random.uniform(0.5, 5))
        self.store_mode = "up"

    async def forget_history(self):
        self.store.forget_history()

    async def crash_worker(self):
        worker = self.random.choice(self.workers)
        self.workers.remove(worker)
        await worker.crash()
        await self.add_worker()

    async def inject(self, seconds):
        faults = [self.kill_node, self.roll_node, self.pause_node, self.reload_node, self.cut_store_from_node,
                  self.cut_worker, self.disturb_store, self.forget_history, self.crash_worker]
        under_way = set()
        until = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < until:
            fault = self.random.choice(faults)
            print(f"soak: {fault.__name__}", flush=True)
            under_way.add(asyncio.ensure_future(fault()))
            await asyncio.sleep(self.random.uniform(0.2, 3))
        await asyncio.gather(*under_way)

    async def settle(self, callers):
        """Waits until every accepted job is over."""
        open_jobs = [job_id for job_id, job in self.ledger.jobs.items() if job["accepted"]]
        for _ in range(SETTLE_S):
            still = []
            for job_id in open_jobs:
                state = await callers.state(job_id)
                if state == "missing":
                    self.ledger.fail(f"LOST {job_id} is accepted, and no node knows it")
                elif state not in ("completed", "failed", "cancelled"):
                    still.append(job_id)
            open_jobs = still
            if not open_jobs:
                return
            await asyncio.sleep(1)
        for job_id in open_jobs:
            self.ledger.fail(f"LOST {job_id} is accepted and isn't over {SETTLE_S} s after the last fault")

    async def run(self):
        try:
            await self.start()
            return await self.play()
        finally:
            self.end_processes()
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            await asyncio.sleep(0.2)  # Connections close before the loop does.

    async def play(self):
        callers = Callers(self.ledger, [node.callers for node in self.nodes], self.options.seed, self.options.rate)
        await asyncio.gather(callers.run(self.options.seconds), self.inject(self.options.seconds))
        await self.settle(callers)
        for job_id, job in self.ledger.jobs.items():
            if job["refused"] and any(task.startswith(job_id) for task in self.ledger.ended_done):
                self.ledger.fail(f"REFUSED {job_id} was refused each time, and ran")
        took = sorted(callers.took) or [0]
        accepted = sum(job["accepted"] for job in self.ledger.jobs.values())
        print(f"soak: seed={self.options.seed} jobs={len(self.ledger.jobs)} accepted={accepted} starts={self.ledger.starts} "
              f"p50_ms={1000 * took[len(took) // 2]:.0f} p99_ms={1000 * took[len(took) * 99 // 100]:.0f} broken={len(self.ledger.broken)}")
        if accepted == 0:
            self.ledger.fail("nothing was accepted")
        return self.ledger.broken

    def end_processes(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20, help="of faults")
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
        broken = asyncio.run(soak.run())
    for text in broken:
        print("broken:", text)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
