"""A rolling deploy of 136 of 160 boxes in 23 s; the tool that keeps the list writes it whole and renames it at each change."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from common import NotRun, main, trouble  # noqa: E402
from whep2 import HEADER, Client, ServeFront, WhepNode  # noqa: E402

BOXES = 160         # GROWTH.md: 140 to 190 boxes
REPLACED = 136      # 85%
DEPLOY_S = 23.0     # BRIEF: up to 85% within 23 to 40 s
AT_A_TIME = 30      # BRIEF: up to 19% at a time
HOLDERS = 8         # boxes that hold the title that the viewers ask for
KEPT = 2            # of these stay
POLL_S = 0.1        # inventory-poll, the default
GRACE_S = 0.25      # BRIEF: nothing new later than 250 ms after the front end was told
SLACK_S = 0.05      # PROTOCOL.md: each time limit is lengthened by 50 ms
READ_S = 1.0        # the front is let have so long to hear of a renamed file: ten polls


def case(record, tmp, processes):
    holders = [WhepNode(f"box-{i:03}", record) for i in range(HOLDERS)]
    # The other boxes hold other titles: nobody asks for them, so nothing listens there.
    rows = {}
    for i in range(BOXES):
        address = f"127.0.0.1:{holders[i].port}" if i < HOLDERS else f"127.1.{i // 100}.{i % 100 + 1}:9"
        rows[f"box-{i:03}"] = [address, i, "ready", ""]

    def text():
        return HEADER + "".join(f"{n},{a},z,{c},std,1,{s},{t}\n" for n, (a, c, s, t) in rows.items())

    front = ServeFront(tmp, record, processes, holders, [("t", 0, HOLDERS)], cells=BOXES, rows=text())
    # The deploy: each box drains, goes, and its successor comes. The holders that go are spread over it; their successors
    # are not up yet when the case ends, so that they stay "gone" in the list.
    names = [f"box-{i:03}" for i in range(HOLDERS, HOLDERS + REPLACED - (HOLDERS - KEPT))]
    for k in range(HOLDERS - KEPT):
        names.insert(10 + k * 20, f"box-{KEPT + k:03}")
    changes = []
    for k, name in enumerate(names):
        gone = 3 * k + 3 * AT_A_TIME // 2
        changes += [(3 * k, "draining", name), (gone, "gone", name), (gone + 1, "new", name)]
    changes.sort(key=lambda c: c[0])
    per_version = 1 if trouble() else 12
    versions = [changes[i:i + per_version] for i in range(0, len(changes), per_version)]
    told, renames, done = {}, [], threading.Event()

    def change(what, name):
        if what != "new":
            rows[name][2] = what
            return
        _, cell, *_ = rows[name]
        holder = int(name[-3:]) < HOLDERS
        rows[name + "-b"] = [f"127.2.{cell // 100}.{cell % 100 + 1}:9", cell, "gone" if holder else "ready", ""]

    def deploy():
        began = time.monotonic()
        for n, version in enumerate(versions):
            time.sleep(max(0.0, began + n * DEPLOY_S / len(versions) - time.monotonic()))
            for _, what, name in version:
                change(what, name)
            with open(front.list + ".new", "w", encoding="utf-8") as f:
                f.write(text())
            os.replace(front.list + ".new", front.list)
            renames.append(time.monotonic())
            for _, what, name in version:
                if what == "draining":
                    told[name] = renames[-1]
                    if int(name[-3:]) < HOLDERS:
                        record("list", f"says that {name} drains (version {n + 1} of {len(versions)})")
        done.set()

    def play(n):
        try:
            Client(f"viewer-{n}", front.address, record).play("t", n)
        except OSError:
            pass

    threading.Thread(target=deploy, daemon=True).start()
    n = 0
    while not done.is_set():
        n += 1
        threading.Thread(target=play, args=(n,), daemon=True).start()
        time.sleep(0.1)
    time.sleep(1.0)
    gaps = sorted(b - a for a, b in zip(renames, renames[1:]))
    record("case", f"{n} viewers, {len(renames)} versions of the list, the median {gaps[len(gaps) // 2] * 1000:.0f} ms apart")
    bound, late = READ_S + GRACE_S + SLACK_S, []
    for h in holders:
        if h.name in told:
            late += [(at - told[h.name], h.name) for at in h.set_up_times if at - told[h.name] > bound]
    if not any(h.set_ups for h in holders[KEPT:]):
        raise NotRun("no set-up went to a box before it drained")
    if late:
        worst = max(late)
        return [f"{len(late)} set-ups reached a draining box more than {bound:.2f} s after the list said so, the latest "
                f"{worst[0]:.2f} s after ({worst[1]})"]
    return []


main(os.path.dirname(os.path.abspath(__file__)), case)
