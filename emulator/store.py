"""The platform's store: topics of records with offsets, the newest record of each key, and ownership groups."""

import asyncio
import base64
import json
import struct
import time

from emulator.web import NoAnswer

PARTITIONS = 16
MAX_KEPT_ANSWERS = 5  # Last appends of a producer whose answers are kept; a repeated one gets the same answer.


def split_records(data):
    """Splits a body into records. Each is a big-endian length of 4 bytes and the content."""
    records = []
    while data:
        (length,) = struct.unpack(">I", data[:4])
        records.append(data[4 : 4 + length])
        data = data[4 + length :]
    return records


def keyed(key, value):
    """Returns the content of a record in a keyed topic: a byte with the key's length, the key, and the value."""
    return bytes([len(key)]) + key.encode() + value


class Partition:
    def __init__(self):
        self.first = 0
        self.records = []
        self.newest = {}  # Key to value and offset of its newest record. A removed key is not in it.
        # Name to epoch, last sequence number (None: any may follow), and answers by sequence number.
        self.producers = {}
        self.appended = asyncio.Event()  # Set at the next append, and then replaced.

    @property
    def end(self):
        return self.first + len(self.records)

    def append(self, records, is_keyed):
        offset = self.end
        for record in records:
            if is_keyed:
                key = record[1 : 1 + record[0]].decode()
                value = record[1 + record[0] :]
                self.newest.pop(key, None)
                if value:
                    self.newest[key] = (value, self.end)
            self.records.append(record)
        self.appended.set()
        self.appended = asyncio.Event()
        return {"offset": offset, "end": self.end}

    def truncate(self):
        """Removes all records; the newest value of each key stays."""
        self.first = self.end
        self.records = []


class Group:
    """Assigns the partitions of a topic evenly to members. A partition that moves is released by its owner first."""

    def __init__(self, topic):
        self.topic = topic
        self.generation = 0
        self.members = {}  # Name to TTL in s, time of the last join, and the generation that the member has seen.
        self.target = {}  # Partition to the member that it is assigned to in this generation.
        self.owners_now = {}  # Partition to the member that owns it now. Set by way of `owner`.
        self.held_since = {}  # Partition to the generation since which that member has owned it.

    @property
    def owner(self):
        return dict(self.owners_now)

    @owner.setter
    def owner(self, owners):
        self.held_since = {
            part: self.held_since[part] if self.owners_now.get(part) == name else self.generation
            for part, name in owners.items()}
        self.owners_now = dict(owners)

    def rebalance(self):
        self.generation += 1
        names = sorted(self.members)
        self.target = {part: names[part % len(names)] for part in range(PARTITIONS)} if names else {}

    def expire(self):
        now = time.monotonic()
        for name, (ttl, joined, _) in list(self.members.items()):
            if now - joined > ttl:
                self.remove(name)

    def remove(self, name):
        if self.members.pop(name, None):
            self.owner = {part: owner for part, owner in self.owner.items() if owner != name}
            self.rebalance()

    def join(self, name, ttl, generation):
        self.expire()
        is_new = name not in self.members
        self.members[name] = (ttl, time.monotonic(), generation)
        if is_new:
            self.rebalance()
        # A member that has seen this generation has released the partitions that go to others.
        is_confirmed = generation >= self.generation
        owner = {part: member for part, member in self.owner.items()
                 if not (is_confirmed and member == name and self.target.get(part) != name)}
        for part, target in self.target.items():
            if target == name:
                owner.setdefault(part, name)
        self.owner = owner
        parts = [[self.topic, part, 0] for part, target in self.target.items()
                 if target == name and self.owner.get(part) == name]
        return {"generation": self.generation, "parts": parts}

    def commit(self, name, generation, part):
        """Returns whether the member holds the partition, and has since this generation."""
        self.expire()
        return self.owner.get(part) == name and self.held_since[part] <= generation

    def reassign(self):
        """Moves every partition to the next member at once; none is released first."""
        self.expire()
        names = sorted(self.members)
        if names:
            self.generation += 1
            self.target = {part: names[(names.index(owner) + 1) % len(names)] for part, owner in self.target.items()}
            self.owner = dict(self.target)

    def owners(self):
        self.expire()
        return [[self.topic, part, owner, 0] for part, owner in sorted(self.owner.items())]


class Store:
    """Answers the store's calls. `fault` returns the fault to inject into a request."""

    def __init__(self):
        self.topics = {}
        self.groups = {}
        # None, "unavailable" (503), "silent" (not executed, no answer) or "lost" (executed, no answer).
        self.fault = lambda request: None

    def partition(self, topic, part=0):
        return self.topics.setdefault(topic, {}).setdefault(int(part), Partition())

    def put(self, topic, key, value):
        """Writes a record of a keyed topic, as an operator or a worker does. None removes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self.partition(topic).append([keyed(key, data)], True)

    def truncate_history(self):
        for parts in self.topics.values():
            for partition in parts.values():
                partition.truncate()

    def reassign_partitions(self):
        for group in self.groups.values():
            group.reassign()

    async def handle(self, request):
        fault = self.fault(request)
        if fault == "silent":
            raise NoAnswer()
        if fault == "unavailable":
            return 503, {}
        answer = await self.dispatch(request)
        if fault == "lost":
            raise NoAnswer()
        return answer

    async def dispatch(self, request):
        name = request.path.rsplit("/", 1)[-1]
        if name == "log-append":
            return self.append(request)
        if name == "log-read":
            return await self.read(request)
        if name == "log-newest":
            return self.newest(request)
        if name == "log-join":
            body = request.json()
            group = self.groups.setdefault(body["group"], Group(body["topics"][0]))
            return 200, group.join(body["member"], body["ttlMs"] / 1000, body.get("generation", 0))
        if name == "log-commit":
            body = request.json()
            group = self.groups.get(body["group"])
            is_held = group is not None and group.commit(body["member"], body["generation"], body["part"])
            return (200 if is_held else 409), {}
        if name == "log-leave":
            body = request.json()
            if body["group"] in self.groups:
                self.groups[body["group"]].remove(body["member"])
            return 200, {}
        if name == "log-owners":
            group = self.groups.get(request.query["group"])
            return 200, {"owners": group.owners() if group else []}
        return 404, {}

    def append(self, request):
        query = request.query
        partition = self.partition(query["topic"], query["part"])
        records = split_records(request.body)
        producer = query.get("producer")
        if producer is None:
            return 200, partition.append(records, query["topic"].startswith("keyed."))
        epoch, sequence = int(query["epoch"]), int(query.get("seq", -1))
        known, last, answers = partition.producers.get(producer, (0, 0, {}))
        if epoch < known:
            return 409, {"reason": "fenced"}
        if epoch > known:
            last, answers = None, {}
        if not records:
            partition.producers[producer] = (epoch, last, answers)
            return 200, {"offset": partition.end, "end": partition.end}
        if sequence in answers:
            return 200, answers[sequence]
        if last is not None and sequence != last + 1:
            return 409, {"reason": "seq", "expected": last + 1}
        answer = partition.append(records, query["topic"].startswith("keyed."))
        answers = {**answers, sequence: answer}
        partition.producers[producer] = (epoch, sequence, dict(list(answers.items())[-MAX_KEPT_ANSWERS:]))
        return 200, answer

    async def read(self, request):
        query = request.query
        partition = self.partition(query["topic"], query["part"])
        start = int(query["from"])
        if start < partition.first:
            return 410, {"first": partition.first}
        if start >= partition.end and int(query.get("waitMs", 0)) > 0:
            try:
                await asyncio.wait_for(partition.appended.wait(), int(query["waitMs"]) / 1000)
            except asyncio.TimeoutError:
                pass
        if start < partition.first:
            return 410, {"first": partition.first}
        body = struct.pack(">QQ", partition.end, partition.first)
        for record in partition.records[start - partition.first :]:
            body += struct.pack(">I", len(record)) + record
        return 200, body

    def newest(self, request):
        partition = self.partition(request.query["topic"], request.query["part"])
        after = request.query.get("after", "")
        keys = sorted(key for key in partition.newest if key > after)
        items = [
            {"key": key, "value": base64.b64encode(partition.newest[key][0]).decode(), "offset": partition.newest[key][1]}
            for key in keys[:500]
        ]
        return 200, {"items": items, "hasMore": len(keys) > 500, "end": partition.end}
