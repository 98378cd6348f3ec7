"""A planned restart of a front node: sessions that end meanwhile are handed over, and never released towards their viewers."""
import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from standins import Bus, CannotRun, Front, MediaServer, Viewers, run, settings

SERVERS, SESSIONS, PER_SECOND = 14, 80, 5.0
RESTART_AT, DOWN_FOR, RUN_FOR = 28.0, 3.0, 50.0
HAND_OVER_EVERY = 0.001
AFTER_RELEASE, AFTER_END, SLACK, HAND_OVER = 1.0, 8.0, 0.05, 0.2


async def case(record, folder, trouble):
    chance = random.Random(6)
    bus = Bus(record)
    await bus.start()
    servers = [MediaServer(record, "s-%08x" % (0xC41F00 + n), n % 12, session_duration=chance.uniform(21, 45), report_interval=2.5)
               for n in range(SERVERS)]
    by_name = {s.name: s for s in servers}
    bus.publish([s.entry() for s in servers], snapshot=True)
    viewers = Viewers(record, "stall-video")
    fronts = [Front(record, folder, f"n{n + 1}", bus, settings(n, 2)) for n in range(2)]
    front = fronts[0]
    try:
        for each in fronts:
            each.start()
        for each in fronts:
            if not await each.ready(viewers):
                raise CannotRun("a front node is not ready")
        connections = [await viewers.connect(front.address) for _ in range(4)]
        calls, started = [], record.now()
        for n in range(SESSIONS):
            for server in servers:
                server.session_duration = chance.uniform(21, 45)
            call = viewers.new_call()
            calls.append(call)
            viewers.set_up(connections[n % 4], call, home=chance.randrange(12), copies=4)
            await asyncio.sleep(1 / PER_SECOND)
        stood = {c: next(s.name for s in servers if c in s.active or c in s.ended) for c in calls
                 if viewers.received(c, "answer")}
        if len(stood) < SESSIONS // 2:
            raise CannotRun("only %d sessions stand" % len(stood))
        handed = {}
        await asyncio.sleep(max(0, started + RESTART_AT - record.now()))
        if trouble:
            front.signal(signal.SIGTERM)
            if not await front.ended(4.7):
                front.stop()
            await asyncio.sleep(max(0, started + RESTART_AT + DOWN_FOR - record.now()))
            front.start()
            if not await front.ready(viewers):
                raise CannotRun("the front node is not ready again")
            # The platform hands over what its viewers hold: what was answered and is not released.
            connections = [await viewers.connect(front.address) for _ in range(4)]
            held = [c for c in stood if not viewers.received(c, "release")]
            for n, call in enumerate(held):
                viewers.set_up(connections[n % 4], call, at=stood[call], copies=4)
                handed[call] = record.now()
                await asyncio.sleep(HAND_OVER_EVERY)
        await asyncio.sleep(max(0, started + RUN_FOR - record.now()))
        broken, late = [], 0
        for call, name in stood.items():
            over = by_name[name].ended.get(call)
            if over is None:
                continue
            ended, limit = over[0], over[0] + AFTER_END + SLACK
            if call in handed:
                limit = max(limit, handed[call] + HAND_OVER + AFTER_RELEASE + SLACK)
            released = [m[0] for m in viewers.received(call, "release") + viewers.received(call, "move")]
            if (not released and record.now() > limit) or (released and min(released) > limit):
                when = "never" if not released else "%.1f s later" % (min(released) - ended)
                broken.append(f"{call} ended at {name} at {ended:.1f} s, released towards its viewer: {when}")
        over = sum(len(s.ended) for s in servers)
        record("case", "counts", stood=len(stood), over=over, handed=len(handed), broken=len(broken))
        print(f"{len(stood)} sessions stood, {over} came to their end, {len(handed)} were handed over")
        return broken
    finally:
        for each in fronts:
            each.stop()
        for server in servers:
            server.close()


run(case)
