"""An idle engine crashes and comes back under its id with other software before its new entry is listed; do streams that
begin there go on at an engine of the old software?"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "harness-3"))

import harness as h  # noqa: E402

# Longer than connections to engines are kept idle.
IDLE_S = 6.0
# From the crash behind the cut until the engine is back, from then until the streams, and until it crashes again.
DOWN_S = 1.0
STREAMS_AFTER_S = 0.3
SECOND_CRASH_AFTER_S = 1.2
CUT_S = 5.0
STREAMS = 8


async def stream(world, node, part):
    """Begins a stream as a client does, and returns the software versions of its events and whether it is complete."""
    world.attempts += 1
    attempt = f"a{world.attempts:06d}"
    headers = {
        "X-Jayhall-Attempt-Id": attempt, "X-Jayhall-Deadline-Ms": "6000", "X-Jayhall-Model": "m",
        "X-Jayhall-Token-Counts": "10100,120", "X-Jayhall-Prompt-Prefix": f"{part}:10000,{world.attempts:08x}:100",
        "Authorization": "Bearer key-of-hule930",
    }
    world.record.write("caller: sends", attempt, "to", node.name)
    versions, engines, ids = [], [], []
    host, port = node.address("callers").rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = ["POST /chat/2f HTTP/1.1", f"Host: {h.HOST}", "Content-Length: 0"]
    lines += [f"{k}: {v}" for k, v in headers.items()]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    status, complete = None, False
    try:
        first, _ = await asyncio.wait_for(h.read_head(reader), 6.5)
        status = int(first.split(" ")[1])
        while status == 200:
            size = int((await asyncio.wait_for(reader.readline(), 6.5)).strip() or b"-1", 16)
            if size <= 0:
                complete = size == 0
                break
            text = (await reader.readexactly(size)).decode()
            await reader.readexactly(2)
            for line in text.splitlines():
                if line.startswith("id:"):
                    ids.append(int(line[3:]))
                if line.startswith("data:"):
                    _, engine, version = line.split()
                    engines.append(engine)
                    versions.append(version)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as e:
        world.record.write("caller:", attempt, "broken off:", type(e).__name__)
    writer.close()
    order = "in order" if ids == list(range(1, len(ids) + 1)) else f"ids {ids}"
    world.record.write("caller: gets", status, "for", attempt, len(ids), "events,", order, "complete" if complete else
                       "incomplete", "from", sorted(set(engines)), "software", sorted(set(versions)))
    return engines, set(versions)


async def part_of(world, node, engine):
    """Returns a part of prompts whose streams are placed at an engine while all are idle."""
    for number in range(40):
        part = f"{0x5c1e07a2 + number:08x}"
        engines, _ = await stream(world, node, part)
        if set(engines) == {engine.id}:
            return part
    raise h.CannotRun("no part is placed at the engine")


async def case(trouble):
    world = h.World(HERE / "record.txt")
    h.Engine.events = 20
    try:
        engines = [h.Engine(world, n, "advisor", "z1") for n in range(5)]
        await world.start(engines)
        node, engine = world.nodes[0], engines[1]
        await asyncio.sleep(2)
        part = await part_of(world, node, engine)
        await asyncio.sleep(IDLE_S)
        h.Engine.events = 60
        if trouble:
            world.record.write("trouble:", engine.id, "is partitioned from the store, crashes and starts again")
            engine.reaches_store = False
            await engine.crash()
            await asyncio.sleep(DOWN_S)
            await engine.start_again("v2")
        await asyncio.sleep(STREAMS_AFTER_S)
        streams = [asyncio.create_task(stream(world, node, part)) for _ in range(STREAMS)]
        if trouble:
            await asyncio.sleep(SECOND_CRASH_AFTER_S)
            await engine.crash()
            await asyncio.sleep(CUT_S - DOWN_S - STREAMS_AFTER_S - SECOND_CRASH_AFTER_S)
            engine.reaches_store = True
            await engine.start_again("v2")
        results = await asyncio.gather(*streams)
        mixed = sum(len(versions) > 1 for _, versions in results)
        world.record.write(f"streams with events of two software versions: {mixed} of {STREAMS}")
        return mixed <= 2
    finally:
        world.stop()


h.main(case)
