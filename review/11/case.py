"""The store comes back from an older copy while all gateways are killed; is a usage window reported twice?"""

import asyncio
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "harness-3"))

import harness as h  # noqa: E402

WINDOW_S = 5.0
# Time from a report until the drill begins, for which the store is away, and the age of the copy beyond the report.
DRILL_AFTER_S = 1.0
AWAY_S = 1.0
COPY_BEFORE_REPORT_S = 1.0
# Time for which the fleet is watched afterwards.
WATCH_S = 30.0
CALLS_PER_S = 20


async def traffic(world):
    at = 0
    while True:
        await asyncio.sleep(1 / CALLS_PER_S)
        node = world.nodes[at % len(world.nodes)]
        at += 1
        if node.process is not None:
            asyncio.create_task(world.call(node, f"/look/{at % 50}"))


async def wait_for_report(world, after, timeout_s):
    """Waits for a report of a window with calls that is taken after the moment `after`."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        for report in world.cloud.usage:
            at, _, counts, _, _ = report
            if at > after and sum(counts.values()) > 0:
                return report
        await asyncio.sleep(0.02)
    raise h.CannotRun("no report of usage")


async def drill(world, report):
    await asyncio.sleep(DRILL_AFTER_S)
    world.record.write("trouble: the store is away, and all gateways lose power")
    world.store.is_away = True
    for node in world.nodes:
        node.kill()
    await asyncio.sleep(AWAY_S)
    world.store.restore(time.monotonic() - report[0] + COPY_BEFORE_REPORT_S)
    world.store.is_away = False
    world.write_config()
    for backend in world.backends:
        backend.beat()
    for node in world.nodes:
        node.start()


def check(world):
    first = {}
    held = True
    for _, window, counts, holder, fence in world.cloud.usage:
        known = first.setdefault(window, (counts, holder, fence))
        if known[0] != counts:
            held = False
            world.record.write("BROKEN: window", window, "reported as", json.dumps(known[0]), "by", known[1], "fence",
                               known[2], "and as", json.dumps(counts), "by", holder, "fence", fence)
    return held


async def case(trouble):
    world = h.World(HERE / "record.txt")
    try:
        backends = [h.Backend(world, n, "desk", zone) for n, (zone, _) in enumerate(world.zones)]
        await world.start(backends)
        calls = asyncio.create_task(traffic(world))
        # A window that began with calls, so that all of its calls are counted.
        report = await wait_for_report(world, time.monotonic() + WINDOW_S, 40)
        world.record.write("window", report[1], "was reported by", report[3])
        if trouble:
            await drill(world, report)
        await asyncio.sleep(WATCH_S)
        calls.cancel()
        world.record.write("answers:", dict(world.results))
        return check(world)
    finally:
        world.stop()


h.main(case)
