"""A new software version has just joined a service when the store comes back from an older copy and all gateways are
killed; do streams of the new version go on at the old one?"""

import asyncio
import collections
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "harness-3"))

import harness as h  # noqa: E402

STREAMS = 24
DEADLINE_S = 12.0
# From the first entries of the new version until the streams, and from then until the drill.
STREAMS_AFTER_S = 1.0
DRILL_AFTER_S = 1.0
AWAY_S = 1.0
# Age of the copy beyond the first entries of the new version.
COPY_BEFORE_JOIN_S = 0.5
# From the return of the store until engines of the new version write their entries again.
WRITTEN_AGAIN_AFTER_S = h.HEARTBEAT_S


class World(h.World):
    def config(self):
        config = super().config()
        for route in config["routes"]:
            if route["name"] == "chat":
                route["timeoutMs"] = DEADLINE_S * 1e3
        return config


class Client:
    """A client with one stream, which it takes up again at any gateway when its connection breaks."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.first_attempt = None
        self.versions, self.ids = [], []
        self.is_complete = False
        self.until = time.monotonic() + DEADLINE_S

    async def run(self):
        tries = 0
        while time.monotonic() < self.until and not self.is_complete:
            node = self.world.nodes[(self.number + tries) % len(self.world.nodes)]
            tries += 1
            pause = await self.attempt(node)
            await asyncio.sleep(pause)
        order = "in order" if self.ids == list(range(1, len(self.ids) + 1)) else f"ids {self.ids}"
        self.world.record.write("stream", self.number, "has", len(self.ids), "events,", order,
                                "complete," if self.is_complete else "incomplete,", "software",
                                dict(collections.Counter(self.versions)))

    async def attempt(self, node):
        """Makes one attempt. Returns the pause before the next one."""
        world = self.world
        world.attempts += 1
        attempt = f"a{world.attempts:06d}"
        left_ms = max(int((self.until - time.monotonic()) * 1e3), 1)
        headers = {
            "X-Jayhall-Attempt-Id": attempt, "X-Jayhall-Deadline-Ms": str(left_ms), "X-Jayhall-Model": "m",
            "X-Jayhall-Token-Counts": "1460,120",
            "X-Jayhall-Prompt-Prefix": f"{0x5c1e07a2 + self.number:08x}:1000,{self.number:08x}:460",
            "Authorization": "Bearer key-of-hule930",
        }
        if self.ids:
            headers.update({"Last-Event-Id": str(self.ids[-1]), "Resumes": self.first_attempt})
        host, port = node.address("callers").rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return 0.1
        try:
            lines = ["POST /chat/2f HTTP/1.1", f"Host: {h.HOST}", "Content-Length: 0"]
            lines += [f"{k}: {v}" for k, v in headers.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            world.record.write("caller: sends", attempt, "of stream", self.number, "to", node.name, "after event",
                               self.ids[-1] if self.ids else 0)
            first, answer = await asyncio.wait_for(h.read_head(reader), left_ms / 1e3)
            status = int(first.split(" ")[1])
            if status != 200:
                world.record.write("caller: gets", status, "for", attempt)
                return float(answer.get("retry-after", 0.2))
            await asyncio.wait_for(self.read_events(reader, attempt), left_ms / 1e3)
            return 0
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as e:
            world.record.write("caller:", attempt, "broken off after event", self.ids[-1] if self.ids else 0,
                               type(e).__name__)
            return 0.05
        finally:
            writer.close()

    async def read_events(self, reader, attempt):
        while True:
            size = int((await reader.readline()).strip() or b"-1", 16)
            if size < 0:
                raise ValueError("no chunk")
            if size == 0:
                self.is_complete = True
                return
            text = (await reader.readexactly(size)).decode()
            await reader.readexactly(2)
            for line in text.splitlines():
                if line.startswith("id:"):
                    self.ids.append(int(line[3:]))
                    self.first_attempt = self.first_attempt or attempt
                if line.startswith("data:"):
                    self.versions.append(line.split()[-1])


async def case(trouble):
    world = World(HERE / "record.txt")
    h.Engine.events = 60
    try:
        old = [h.Engine(world, n, "advisor", "z1", "v1") for n in range(2)]
        new = [h.Engine(world, 2 + n, "advisor", "z1", "v2") for n in range(2)]
        await world.start(old)
        await asyncio.sleep(6)
        joined = time.monotonic()
        for engine in new:
            await engine.start()
            engine.beat()
            world.backends.append(engine)
        world.record.write("engines of software v2 have joined")
        await asyncio.sleep(STREAMS_AFTER_S)
        clients = [Client(world, n) for n in range(STREAMS)]
        streams = [asyncio.create_task(client.run()) for client in clients]
        if trouble:
            await asyncio.sleep(DRILL_AFTER_S)
            world.record.write("trouble: the store is away, and all gateways are killed")
            world.store.is_away = True
            for node in world.nodes:
                node.kill()
            for engine in new:
                engine.reaches_store = False
            await asyncio.sleep(AWAY_S)
            world.store.restore(time.monotonic() - joined + COPY_BEFORE_JOIN_S)
            world.store.is_away = False
            world.write_config()
            for engine in old:
                engine.beat()
            for node in world.nodes:
                node.start()
            await asyncio.sleep(WRITTEN_AGAIN_AFTER_S)
            for engine in new:
                engine.reaches_store = True
                engine.beat()
            world.record.write("engines of software v2 have written their entries again")
        await asyncio.gather(*streams)
        mixed = sum(len(set(client.versions)) > 1 for client in clients)
        world.record.write(f"streams with events of two software versions: {mixed} of {STREAMS}")
        return mixed <= 2
    finally:
        world.stop()


h.main(case)
