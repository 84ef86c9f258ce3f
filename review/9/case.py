"""Two fronts are cut from each other for a while; a peak is amended at one of them and then called off at the other."""

import json
import os
import select
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from common import NotRun, main, trouble, wait_until  # noqa: E402
from whep2 import ServeFront, WhepNode  # noqa: E402

CUT_S = 5.0         # a partition lasts 6 s on the days of the standing test
PERIOD_S = 0.2      # time between two rounds of the exchange
PROMPT_S = 10.0     # the room has to be back so long after the cut: 50 rounds
VIEWERS = 100


class Relay:
    """Carries datagrams between two fronts: each sees the other at an address of the relay."""

    def __init__(self, record):
        self.record, self.real, self.socks, self.cut = record, [None, None], [], False
        self.passed = self.dropped = 0
        for _ in range(2):
            s = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            s.bind(("127.0.0.1", 0))
            self.socks.append(s)
        threading.Thread(target=self._run, daemon=True).start()

    def address(self, front):
        """Where the others send to this front."""
        return "127.0.0.1:%d" % self.socks[front].getsockname()[1]

    def _run(self):
        while True:
            for s in select.select(self.socks, [], [])[0]:
                data, _ = s.recvfrom(65536)
                to = self.socks.index(s)
                if self.cut or self.real[to] is None:
                    self.dropped += 1
                    continue
                self.passed += 1
                # From the address that stands for the other front.
                self.socks[1 - to].sendto(data, self.real[to])

    def set_cut(self, cut):
        self.cut = cut
        self.record("relay", f"{'cuts the fronts from each other' if cut else 'joins the fronts again'}; "
                             f"{self.passed} datagrams passed so far, {self.dropped} dropped")


def udp_port():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def held(front):
    """Room held for each peak at this front, kB a second."""
    return {h["name"]: h["held_kb"] for h in json.loads(front.operator("GET", "/peaks").body)["holds"]}


def case(record, tmp, processes):
    nodes = [WhepNode(f"node-{i}", record) for i in range(4)]
    relay, fronts = Relay(record), []
    for i, name in enumerate(["front-a", "front-b"]):
        port = udp_port()
        relay.real[i] = ("127.0.0.1", port)
        exchange = (f"section exchange\nlisten 127.0.0.1:{port}\nadvertise {relay.address(i)}\n"
                    f"peer {relay.address(1 - i)}\nkey secret\nperiod {int(PERIOD_S * 1000)}ms\n")
        fronts.append(ServeFront(tmp, record, processes, nodes, [("t", 0, 4)], f"fronts 2\nstate-dir state\n", name,
                                 exchange))
    now = int(time.time() * 1000)

    def announcement(name, viewers):
        return json.dumps({"name": name, "titles": ["t"], "class": "replay", "viewers": [[0, viewers]],
                           "start_ms": now + 50_000, "end_ms": now + 600_000, "lead_ms": 60_000, "rung": 1,
                           "cancelled": False}).encode()

    # One peak is amended at each of the two fronts, and called off at the other one.
    peaks = {"cup": (0, 1), "league": (1, 0)}
    for name, (amended_at, _) in peaks.items():
        if fronts[amended_at].operator("POST", "/peaks", announcement(name, VIEWERS)).status != 201:
            raise NotRun("a peak was not announced")
    if not wait_until(lambda: all(held(f).get(n, 0) > 0 for f in fronts for n in peaks), 15, 0.3):
        raise NotRun("the fronts do not hold room for both peaks")
    if trouble():
        relay.set_cut(True)
    cut_at = time.monotonic()
    for name, (amended_at, _) in peaks.items():
        if fronts[amended_at].operator("PUT", f"/peaks/{name}", announcement(name, VIEWERS + 20)).status != 200:
            raise NotRun("a peak was not amended")
    time.sleep(2.0)
    for name, (_, cancelled_at) in peaks.items():
        if fronts[cancelled_at].operator("DELETE", f"/peaks/{name}").status != 200:
            raise NotRun("a peak was not called off")
    for name, (_, cancelled_at) in peaks.items():
        if held(fronts[cancelled_at]).get(name, 0) > 0:
            return [f"{name} is held where it was called off"]
    time.sleep(max(0.0, CUT_S - (time.monotonic() - cut_at)))
    if trouble():
        relay.set_cut(False)
    passed = relay.passed
    time.sleep(PROMPT_S)
    if relay.passed - passed < 20:
        raise NotRun("the fronts did not exchange datagrams after the cut")
    out = []
    for name, (amended_at, cancelled_at) in peaks.items():
        for i, f in enumerate(fronts):
            kb = held(f).get(name, 0)
            record("case", f"{name} was called off at {fronts[cancelled_at].process.name}; "
                           f"{f.process.name} holds {kb:.0f} kB/s for it")
            if kb > 0:
                out.append(f"{f.process.name} holds {kb:.0f} kB/s for {name} {PROMPT_S:.0f} s after the cut, though it "
                           f"was called off at {fronts[cancelled_at].process.name} and the operator was answered 200")
    return out


main(os.path.dirname(os.path.abspath(__file__)), case)
