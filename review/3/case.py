"""Keyed set-ups (`deduplicated`, group `zone`) must stay in the zone of an attempt that may have run."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from settings import config  # noqa: E402
from standins import ChangeLog, Front, Node, Viewer, main  # noqa: E402

NODES, CELLS, WINDOW_MS, SLACK_MS = 16, 8, 5_000, 50
FULL, HANGS, SOUND = 0, 1, 2  # the nodes in cells 0, 1, 2, which hold the title; one of 16 nodes hangs
TITLE = "7f3a9c21e0b4d655"
OTHER_TITLE = "11aa9c21e0b4d655"
REQUESTS, PAUSE_S = 16, 2.6


CLASSES = [{"name": "lesson", "idempotency": "deduplicated", "group": "zone", "window_ns": WINDOW_MS * 10**6,
            "aim_ns": 800_000_000, "deadline_ns": 4_000_000_000, "value": 1.0, "stream": True}]


async def case(record, trouble):
    def behaviour(node, _sid, _fields):
        if node.number == FULL:
            return ("full",)  # its places are taken by sessions of the other two front ends
        if node.number == HANGS and trouble:
            return ("silent",)
        return ("play", 0.02)

    # Cells 0, 1, 2 have one node each; zones alternate by cell.
    cells = [0, 1, 2] + [3 + i % (CELLS - 3) for i in range(NODES - 3)]
    nodes = [Node(record, i, "ab"[cell % 2], cell, behaviour) for i, cell in enumerate(cells)]
    for node in nodes:
        await node.start()
    log = ChangeLog(record, 1)
    await log.start()
    front = Front(record, config(nodes, log.port, CLASSES, ["a", "b"], CELLS))
    sent, viewers = [], []
    try:
        await front.start()
        for i in range(REQUESTS):
            for kind, title, home in (("lesson", TITLE, 0), ("other", OTHER_TITLE, 4)):
                viewer = Viewer(record, f"viewer {kind[0]}{i}")
                await viewer.connect(front.port)
                sid = f"{0x9b1f03aa00000000 + i * 16 + home:016x}"
                viewer.set_up(sid, title, "lesson", 4000, f"home:{home};copies:3;top:4;viewer:{i * 16 + home:016x}")
                sent.append(sid)
                viewers.append(viewer)
            await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(1.5)
    finally:
        front.stop()
    answered = sum(bool(v.answers) for v in viewers)
    record.line("case", f"{len(sent)} requests, {answered} answered")
    if answered < len(sent):
        raise RuntimeError("requests without an answer: the stand-ins or the front did not work")
    return violations(nodes, sent)


def violations(nodes, sent):
    """WIRE, rule 2, for `deduplicated`: after an attempt that might have run, further sends go only to nodes in that
    node's zone and within the window of that attempt's send. Proven never to have run are here the set-ups that were
    answered 453. One that was answered 200 ends the request."""
    found = []
    for sid in sent:
        sends = sorted((at, n.zone, n.name, what) for n in nodes for at, i, what in n.arrivals if i == sid)
        for k, (at, zone, name, _) in enumerate(sends):
            for at0, zone0, name0, what0 in sends[:k]:
                if what0 == "full":
                    continue
                if zone != zone0 or (at - at0) * 1000 > WINDOW_MS + SLACK_MS:
                    found.append(f"{sid}: sent to {name} in zone {zone}, {at - at0:.3f} s after {name0} in zone {zone0}, "
                                 f"which might have run it")
    return found


main(case)
