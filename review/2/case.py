"""`serve`: no set-up goes to a box later than 250 ms after the list says that it drains, during a rolling deploy."""

import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from standins import main  # noqa: E402
from whep import ServeFront, WhepNode, watch  # noqa: E402

BOXES, CELLS, TITLES = 160, 40, 10  # "140 to 190 boxes"
REPLACED, DEPLOY_S = int(BOXES * 0.85), 23.0  # "up to 85% of the replay boxes within 23 to 40 s"
DRAIN_S, START_S = 3.0, 0.3  # a box drains, then its process ends; its successor is up a little later
SET_UPS_PER_S = 20
GRACE_S, SLACK_S = 0.25, 0.05
CONF = f"""name front
listen 127.0.0.1:0
admin 127.0.0.1:0
inventory nodes.csv
zones z
zone z
racks 32
cells {CELLS}
uplink-kb 600000
kb-per-weight 120000
all-links-kb {BOXES * 120000}
gauges streams link uplink
seen-after 500ms
switch-cost 0.5
max-advice 500ms
section ladder
rung 200 0.2
rung 350 0.42
rung 600 0.62
section class replay
aim 800ms
patience 4s
repeat harmless
section kind std
streams 60
section rules
cold-share 0.4
cold 12s
fall-multiple 2.5
fall-window 2s
""" + "".join(f"section title t{i}\nhome {i * CELLS // TITLES}\ncopies 4\nclass replay\n" for i in range(TITLES))


class BoxList:
    """The list of boxes. Each change replaces the file by rename, as docs/operators.md asks."""

    def __init__(self, record, folder):
        self.record, self.path, self.rows, self.told, self.writes = record, Path(folder) / "nodes.csv", {}, {}, 0

    def set(self, node, cell, state, started=""):
        self.rows[node.name] = f"{node.name},127.0.0.1:{node.port},z,{cell},std,1,{state},{started}\n"

    def write(self):
        new = self.path.with_suffix(".new")
        new.write_text("name,address,zone,cell,kind,weight,state,started\n" + "".join(self.rows.values()))
        os.replace(new, self.path)
        self.writes += 1


async def case(record, trouble):
    nodes = [WhepNode(record, f"box{i}") for i in range(BOXES)]
    for node in nodes:
        await node.start()
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        boxes = BoxList(record, folder)
        for i, node in enumerate(nodes):
            boxes.set(node, i % CELLS, "ready")
        boxes.write()
        front = ServeFront(record, folder, CONF)
        try:
            await front.start()
            return await play(record, trouble, nodes, boxes, front)
        finally:
            front.stop()


async def play(record, trouble, nodes, boxes, front):
    answers = []

    async def viewer(i):
        answers.append((await watch(front.port, f"t{i % TITLES}", f"v{i}"))[0])

    async def replace(i, node):
        """One box: it drains, its process ends, its successor starts cold at a new address."""
        boxes.set(node, i % CELLS, "draining")
        boxes.write()
        boxes.told[node.name] = time.time()
        record.line("list", f"{node.name} drains")
        await asyncio.sleep(DRAIN_S)
        if not trouble:
            return
        boxes.rows.pop(node.name)
        boxes.write()
        record.line("list", f"{node.name} is gone")
        node.stop()
        successor = WhepNode(record, f"box{i}b")
        await successor.start()
        await asyncio.sleep(START_S)
        boxes.set(successor, i % CELLS, "ready", int(time.time() * 1000))
        boxes.write()
        record.line("list", f"{successor.name} is up")

    # Without the disruption one box is drained, and nothing else of the list changes.
    replaced = REPLACED if trouble else 1
    tasks, start, n = [], time.time(), 0
    while (t := time.time() - start) < DEPLOY_S + 2:
        while t >= 1 and len(tasks) < replaced and t - 1 >= len(tasks) * DEPLOY_S / REPLACED:
            i = len(tasks)
            tasks.append(asyncio.ensure_future(replace(i, nodes[i])))
        while n <= t * SET_UPS_PER_S:
            asyncio.ensure_future(viewer(n))
            n += 1
        await asyncio.sleep(0.01)
    await asyncio.sleep(4.5)
    served = sum(a == 201 for a in answers)
    taken = (Path(front.folder) / "front.log").read_text().count("inventory-taken")
    record.line("case", f"{n} requests, {served} served; {len(boxes.told)} boxes drained; the list was written {boxes.writes} "
                        f"times and taken by the front {taken} times")
    print(f"{n} requests, {served} served; list written {boxes.writes} times, taken {taken} times")
    if served < n / 2:
        raise RuntimeError("less than half of the requests were served: not the load that the case needs")
    found = []
    for node in nodes:
        told = boxes.told.get(node.name, float("inf"))
        for at, path in node.set_ups:
            if at > told + GRACE_S + SLACK_S:
                found.append(f"{node.name}: got POST {path} {at - told:.2f} s after the list said that it drains")
    return found


main(case)
