"""A service has engines of two software versions, and the gateways are restarted as planned, one after the other; do the
streams that outlast the stop of the last one go on when their clients take them up again?"""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "harness-3"))

import harness as h  # noqa: E402

STREAMS = 24
EVENTS, EVENT_S = 60, 0.2
DEADLINE_S = 15.0
# Time between two stops, and from SIGTERM to SIGKILL.
GAP_S = 1.0
GRACE_S = 8.0
# Time without a disruption after which a machine is in touch.
STABLE_S = 4.0
NEW_PER_S = 4


class World(h.World):
    def config(self):
        config = super().config()
        for route in config["routes"]:
            if route["name"] == "chat":
                route["timeoutMs"] = DEADLINE_S * 1e3
        return config


class Client:
    """A client with one stream. It takes the stream up again at another gateway when its connection breaks, and asks again
    after a refusal that says when."""

    def __init__(self, world, name, nodes):
        self.world, self.name, self.nodes = world, name, nodes
        self.first_attempt = None
        self.ids, self.statuses = [], []
        self.is_complete = False
        self.until = time.monotonic() + DEADLINE_S
        self.taken_up_at = None
        self.went_on = False

    async def run(self):
        tries = 0
        while time.monotonic() < self.until and not self.is_complete:
            node = self.nodes[tries % len(self.nodes)]
            tries += 1
            pause = await self.attempt(node)
            if pause is None:
                break
            await asyncio.sleep(pause)
        order = "in order" if self.ids == list(range(1, len(self.ids) + 1)) else f"ids {self.ids}"
        self.world.record.write("stream", self.name, "has", len(self.ids), "events,", order + ",", "statuses", self.statuses,
                                "complete" if self.is_complete else "incomplete")

    async def attempt(self, node):
        """Makes one attempt. Returns the pause before the next one, or `None` if the client gives up."""
        world = self.world
        world.attempts += 1
        attempt = f"a{world.attempts:06d}"
        left_s = max(self.until - time.monotonic(), 0.001)
        headers = {
            "X-Jayhall-Attempt-Id": attempt, "X-Jayhall-Deadline-Ms": str(int(left_s * 1e3)), "X-Jayhall-Model": "m",
            "X-Jayhall-Token-Counts": "1460,180",
            "X-Jayhall-Prompt-Prefix": f"{0x5c1e07a2 + world.attempts % 7:08x}:1000,{world.attempts:08x}:460",
            "Authorization": "Bearer key-of-hule930",
        }
        is_taken_up = bool(self.ids)
        if is_taken_up:
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
            world.record.write("caller: sends", attempt, "of stream", self.name, "to", node.name, "after event",
                               self.ids[-1] if self.ids else 0)
            if is_taken_up and self.taken_up_at is None and node.is_in_touch():
                self.taken_up_at = node.name
            first, answer = await asyncio.wait_for(h.read_head(reader), left_s)
            status = int(first.split(" ")[1])
            self.statuses.append(status)
            world.record.write("caller: gets", status, "for", attempt)
            if status != 200:
                return float(answer["retry-after"]) if status in (429, 503) and "retry-after" in answer else None
            before = len(self.ids)
            try:
                await asyncio.wait_for(self.read_events(reader, attempt), left_s)
            finally:
                self.went_on |= is_taken_up and len(self.ids) > before
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


class Node(h.Node):
    """A gateway that knows since when it has been without a disruption."""

    calm_since = None

    def start(self, first_start=False):
        super().start(first_start)
        self.calm_since = time.monotonic()

    def is_in_touch(self):
        return self.calm_since is not None and time.monotonic() - self.calm_since >= STABLE_S

    async def restart_as_planned(self):
        """Stops the gateway as planned, and starts it again."""
        self.calm_since = None
        self.signal(signal.SIGTERM)
        process, began = self.process, time.monotonic()
        while process.poll() is None and time.monotonic() - began < GRACE_S:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            self.signal(signal.SIGKILL)
        process.wait()
        self.world.record.write(self.name, f"ended {time.monotonic() - began:.2f} s after SIGTERM")
        self.process = None
        await asyncio.sleep(0.3)
        self.start()


async def new_streams(world, nodes, clients, tasks):
    """Clients begin new streams at gateways that are in touch."""
    number = 0
    while True:
        await asyncio.sleep(1 / NEW_PER_S)
        number += 1
        in_touch = [node for node in nodes if node.is_in_touch()]
        if in_touch:
            client = Client(world, f"new-{number}", [in_touch[number % len(in_touch)]])
            clients.append(client)
            tasks.append(asyncio.create_task(client.run()))


async def case(trouble):
    world = World(HERE / "record.txt", nodes=0)
    world.nodes = [Node(world, n, *world.zones[n % len(world.zones)]) for n in range(4)]
    h.Engine.events, h.Engine.event_s = EVENTS, EVENT_S
    try:
        engines = [h.Engine(world, n, "advisor", "z1", ["v1", "v2"][n % 2]) for n in range(6)]
        await world.start(engines)
        await asyncio.sleep(6)
        *others, last = world.nodes
        clients = [Client(world, n, [last, *others]) for n in range(STREAMS)]
        streams = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(1)
        # Without the trouble, only the gateway with the streams is restarted.
        restarted = world.nodes if trouble else [last]
        world.record.write("planned work:", len(restarted), "gateways are stopped and started, one each", GAP_S, "s")
        restarts = []
        for node in restarted:
            restarts.append(asyncio.create_task(node.restart_as_planned()))
            await asyncio.sleep(GAP_S)
        new, tasks = [], []
        beginnings = asyncio.create_task(new_streams(world, others, new, tasks))
        await asyncio.gather(*restarts, *streams)
        beginnings.cancel()
        await asyncio.sleep(1)
        taken_up = [client for client in clients if client.taken_up_at]
        went_on = sum(client.went_on for client in taken_up)
        begun = sum(bool(client.ids) for client in new)
        world.record.write(f"taken up again at gateways in touch: {len(taken_up)}, of which {went_on} went on;",
                           f"new at gateways in touch: {len(new)}, of which {begun} began")
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if len(taken_up) < 12:
            return True
        return went_on / len(taken_up) >= 0.5 * begun / max(len(new), 1)
    finally:
        world.stop()


h.main(case)
