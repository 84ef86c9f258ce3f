"""Discovery breaks off once and is slow from then on; a playout node drains meanwhile."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from common import NotRun, main, trouble  # noqa: E402
from rtsp import ChangeLog, Front, Node, Viewer  # noqa: E402

SLOW_S = 3.0        # from a question to discovery's first byte; under the 4 s of a silent change log
GRACE_S = 1.0       # stop_sending_within_ns
SLACK_S = 0.05      # PROTOCOL.md: each time limit is lengthened by 50 ms
TOLD_AFTER_S = 4.0  # PROTOCOL.md: counts as told no later than 4 s after the trouble began
DRAINING = 1


def case(record, tmp, processes):
    log = ChangeLog(record)
    nodes = [Node("node-0", record), Node("node-1", record)]
    front = Front(tmp, record, processes, nodes, log)
    viewer = Viewer("viewer", front.address, record)
    began, n, broke_at, drained_at = time.monotonic(), 0, None, None
    ids = []
    while time.monotonic() - began < 25:
        t = time.monotonic() - began
        if broke_at is None and t >= 3:
            broke_at = time.monotonic()
            if trouble():
                log.break_off(SLOW_S)
        if drained_at is None and t >= 4:
            drained_at = time.monotonic()
            log.tell(2, [{"id": 1, "port": nodes[1].port, "state": DRAINING, "cell": 1}])
        n += 1
        ids.append(f"{0xa000000000000000 + n:016x}")
        viewer.set_up(ids[-1], "7f3a9c21e0b4d655", "lesson")
        time.sleep(0.2)
    if any(viewer.answer(i, 3) is None for i in ids):
        raise NotRun("a set-up has no answer")
    before = [at for at, _ in nodes[1].set_ups if at < drained_at]
    if not before:
        raise NotRun("node-1 got no set-up before it drained")
    told_at = max(broke_at, drained_at) + TOLD_AFTER_S if trouble() else drained_at
    bound = told_at + GRACE_S + SLACK_S
    late = [(at - drained_at, s) for at, s in nodes[1].set_ups if at > bound]
    record("case", f"node-1: {len(before)} set-ups before it drained, {len(nodes[1].set_ups) - len(before)} after; "
                   f"bound {bound - drained_at:.2f} s after the event; questions to discovery: {len(log.requests)}")
    if late:
        return [f"{len(late)} set-ups reached the draining node-1 past the bound, the last {late[-1][0]:.2f} s after "
                f"the event, which counts as told {told_at - drained_at:.2f} s after it"]
    return []


main(case)
