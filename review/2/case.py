"""Sessions at a machine that vanishes must be released towards their clients within 8 s of their end."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from settings import config  # noqa: E402
from standins import ChangeLog, Front, Node, Viewer, main  # noqa: E402

NODES = int(os.environ.get("NODES", "120"))  # of 200 at most; NODES=60 shows the same front below its bound
CELLS, ZONES = 12, ["a", "b", "c"]
SOCKETS = int(os.environ.get("SOCKETS", "256"))  # 256 is the least that the pages give a front
SET_UPS_PER_S, LIFE_S = 25, (24.0, 40.0)  # what reaches the busiest front; lives of sessions
CONNECTIONS = 80  # of viewers, under a third of the descriptors
VANISH_AT_S, WATCH_S = 42.0, 12.0
NOTICE_S, LOST_NOTICE_S, SLACK_S = 1.0, 8.0, 0.05
CLASSES = [{"name": "replay", "idempotency": "idempotent", "group": "all", "window_ns": 5_000_000_000,
            "aim_ns": 800_000_000, "deadline_ns": 4_000_000_000, "value": 1.0, "stream": True}]


async def case(record, trouble):
    lives = random.Random(7)
    over = {}  # sessions that are over: time of the end, time allowed, node

    def behaviour(node, sid, _fields):
        asyncio.get_running_loop().call_later(lives.uniform(*LIFE_S), finish, node, sid)
        return ("play", 0.02)

    def finish(node, sid):
        if sid in node.standing and not node.vanished:
            sent = node.end(sid)
            over[sid] = (time.time(), NOTICE_S if sent else LOST_NOTICE_S, node.name)

    nodes = [Node(record, i, ZONES[i % CELLS % 3], i % CELLS, behaviour) for i in range(NODES)]
    for node in nodes:
        await node.start()
    log = ChangeLog(record, 1)
    await log.start()
    front = Front(record, config(nodes, log.port, CLASSES, ZONES, CELLS, sockets=SOCKETS,
                                 specifics={"uplink_kb": NODES / 4 * 200_000 * 0.8, "all_links_kb": NODES * 200_000.0}))
    holder = {}

    async def notes():
        while True:
            await asyncio.sleep(2.5)
            for node in nodes:
                node.tell("link", 0.3)

    async def traffic(viewers):
        for i in range(10**6):
            sid, home, viewer = f"{0x9b1f03aa00000000 + i:016x}", i % CELLS, viewers[i % len(viewers)]
            viewer.set_up(sid, f"{0x7f3a9c2100000000 + home:016x}", "replay", 4000,
                          f"home:{home};copies:3;top:1;viewer:{i + 1:016x}")
            holder[sid] = viewer
            await asyncio.sleep(1 / SET_UPS_PER_S)

    try:
        await front.start()
        viewers = [Viewer(record, f"viewer {i}") for i in range(CONNECTIONS)]
        for viewer in viewers:
            await viewer.connect(front.port)
            viewer.writer.write(b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
        tasks = [asyncio.ensure_future(notes()), asyncio.ensure_future(traffic(viewers))]
        await asyncio.sleep(VANISH_AT_S)
        used = [n for n in nodes if n.standing]
        served = sum(any(a[1] == 200 for a in v.answers.get(sid, [])) for sid, v in holder.items())
        fds = len(os.listdir(f"/proc/{front.process.pid}/fd"))
        state = (f"{served} of {len(holder)} requests served; {sum(len(n.standing) for n in nodes)} sessions stand at "
                 f"{len(used)} of {NODES} nodes, {min(len(n.standing) for n in used)} at least; {fds} descriptors are open")
        record.line("case", state)
        print(state)
        node = sorted(used, key=lambda n: len(n.standing))[len(used) // 2]
        if trouble:
            node.vanish()
            over.update((sid, (time.time(), LOST_NOTICE_S, node.name)) for sid in node.standing)
        await asyncio.sleep(WATCH_S)
        [task.cancel() for task in tasks]
        end = time.time()
    finally:
        front.stop()
    if served < len(holder) / 2:
        raise RuntimeError("less than half of the requests were served: not the load that the case needs")
    found, slowest = [], 0.0
    for sid, (at, limit, name) in over.items():
        told = [t for t, first, fields, _ in holder[sid].messages
                if fields.get("session") == sid and first.startswith(("TEARDOWN", "REDIRECT"))]
        if not told and end - at < limit + SLACK_S:
            continue  # it ended too late to be judged
        slowest = max([slowest] + [t - at for t in told])
        if not told or told[0] - at > limit + SLACK_S:
            found.append(f"{sid} at {name}: over since {end - at:.1f} s, released towards its client "
                         + (f"only after {told[0] - at:.3f} s" if told else "never") + f"; due within {limit:.0f} s")
    record.line("case", f"{len(over)} sessions came to their end; the slowest release took {slowest:.3f} s")
    return found


main(case)
