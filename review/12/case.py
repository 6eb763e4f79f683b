"""The store comes back from an older copy while the gateways are restarted as planned, one after the other; is a usage
window reported twice?"""

import asyncio
import json
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "harness-3"))

import harness as h  # noqa: E402

WINDOW_S = 5.0
# Time from a report, when the gateways begin to be restarted, until the drill begins, for which the store is away, and
# the age of the copy beyond the report.
DRILL_AFTER_S = 1.5
AWAY_S = 1.0
# Time between two stops, and from SIGTERM to SIGKILL.
GAP_S = 1.0
GRACE_S = 8.0
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


async def roll(world, node):
    """Stops a gateway as planned, and starts it again."""
    node.signal(signal.SIGTERM)
    process, began = node.process, time.monotonic()
    while process.poll() is None and time.monotonic() - began < GRACE_S:
        await asyncio.sleep(0.02)
    if process.poll() is None:
        node.signal(signal.SIGKILL)
    process.wait()
    world.record.write(node.name, f"ended {time.monotonic() - began:.2f} s after SIGTERM")
    node.process = None
    await asyncio.sleep(0.3)
    node.start()


async def roll_all(world):
    world.record.write("planned work: the gateways are stopped and started, one each", GAP_S, "s")
    rolls = []
    for node in world.nodes:
        rolls.append(asyncio.create_task(roll(world, node)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*rolls)


async def drill(world, report):
    await asyncio.sleep(DRILL_AFTER_S)
    world.record.write("trouble: the store is away")
    world.store.is_away = True
    await asyncio.sleep(AWAY_S)
    world.store.restore(time.monotonic() - report[0] + COPY_BEFORE_REPORT_S)
    world.store.is_away = False
    world.write_config()
    for backend in world.backends:
        backend.beat()


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
        work = [roll_all(world)]
        if trouble:
            work.append(drill(world, report))
        await asyncio.gather(*work)
        await asyncio.sleep(WATCH_S)
        calls.cancel()
        world.record.write("answers:", dict(world.results))
        return check(world)
    finally:
        world.stop()


h.main(case)
