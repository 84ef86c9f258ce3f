"""The front gets its stop signal while trickle requests that it has taken wait for their node."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from common import NotRun, main, trouble, wait_until  # noqa: E402
from whep2 import FRAGMENT, Client, ServeFront, WhepNode  # noqa: E402

VIEWERS = 8
NODE_TAKES_S = 1.0     # a slow node; the front itself waits 2 s for the answer to a PATCH
STOP_TAKES_S = 6.0     # the longest patience (4 s) and 2 s: the front's own bound on its stop


def case(record, tmp, processes):
    nodes = [WhepNode("node-0", record), WhepNode("node-1", record)]
    front = ServeFront(tmp, record, processes, nodes, [("t", 0, 2)])
    viewers = []
    for n in range(VIEWERS):
        c = Client(f"viewer-{n}", front.address, record)
        a = c.play("t", n)
        if a is None or a.status != 201:
            raise NotRun("a viewer does not play")
        viewers.append((c, a.fields["location"], a.fields.get("etag", "*")))
    time.sleep(0.3)
    for node in nodes:
        node.patch_takes = NODE_TAKES_S
    for c, session, tag in viewers:
        c.send("PATCH", session, [("content-type", "application/trickle-ice-sdpfrag"), ("if-match", tag)], FRAGMENT)
    # All of them have been taken: their nodes have them.
    if not wait_until(lambda: sum(node.patches for node in nodes) == VIEWERS, 0.5):
        raise NotRun("the nodes did not get the requests in time")
    time.sleep(0.2)
    if trouble():
        front.process.send(signal.SIGTERM)
    answers = [c.read(STOP_TAKES_S) for c, *_ in viewers]
    if trouble():
        if not wait_until(front.process.ended, STOP_TAKES_S):
            raise NotRun("the front did not end")
        record("case", f"the front ended with {front.process.child.returncode}")
    lost = [c.name for (c, *_), a in zip(viewers, answers) if a is None]
    if lost:
        return [f"{len(lost)} of {VIEWERS} requests taken before the stop signal got no answer: {', '.join(lost)}"]
    return []


main(case)
