"""`serve`: a peak that an operator called off stays called off, when messages between the fronts were lost for some seconds."""

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from standins import free_port, main  # noqa: E402
from whep import ServeFront, WhepNode, ask  # noqa: E402

NODES = 6
PERIOD_S = 1.0  # the default period of the exchange
CUT_S = 6.0  # datagrams between the fronts are lost for this time
PROMPT_S = PERIOD_S + 2.0  # docs/peaks.md, "Bounds": "within one exchange period plus 2 s where messages pass"
ALLOWED_S = 10.0  # what the test allows
CONF = """name {name}
listen 127.0.0.1:0
admin 127.0.0.1:0
admin-key key
inventory nodes.csv
fronts 2
zones z
zone z
racks 2
cells 6
uplink-kb 400000
kb-per-weight 120000
all-links-kb 720000
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
section title t
home 0
copies 6
class replay
section exchange
listen 127.0.0.1:{port}
advertise 127.0.0.1:{relay}
key secret
peer 127.0.0.1:{peer}
"""


class Relays:
    """A UDP relay in front of each front. What comes to the relay of X goes to X, from the relay of the sender."""

    def __init__(self, record, ports):
        self.record, self.ports, self.cut, self.lost, self.passed = record, ports, False, 0, 0
        self.transports = {}

    async def start(self):
        for port in self.ports:
            relay = self

            class Protocol(asyncio.DatagramProtocol):
                to = port

                def datagram_received(self, data, source):
                    sender = relay.transports.get(source[1])
                    if relay.cut or sender is None:
                        relay.lost += 1
                    else:
                        relay.passed += 1
                        sender.sendto(data, ("127.0.0.1", self.to))

            self.transports[port], _ = await asyncio.get_running_loop().create_datagram_endpoint(
                Protocol, local_addr=("127.0.0.1", 0))

    def address(self, port):
        return self.transports[port].get_extra_info("sockname")[1]


async def operator(record, front, method, path, body=None):
    answer = await ask(front.admin, method, path, [("authorization", "Bearer key")],
                       b"" if body is None else json.dumps(body).encode())
    record.line("operator", f"{front.name}: {method} {path} -> {answer and answer[0]}")
    return int(answer[0].split(" ")[1]), answer[2]


async def held(record, front):
    """State and reserved capacity of the peak at a front."""
    answer = await ask(front.admin, "GET", "/peaks", [("authorization", "Bearer key")])
    rows = json.loads(answer[2])["holds"]
    return (rows[0]["state"], rows[0]["held_kb"]) if rows else ("none", 0.0)


async def case(record, trouble):
    nodes = [WhepNode(record, f"n{i}") for i in range(NODES)]
    for node in nodes:
        await node.start()
    ports = [free_port(), free_port()]
    relays = Relays(record, ports)
    await relays.start()
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        rows = "".join(f"{n.name},127.0.0.1:{n.port},z,{i},std,1,ready,\n" for i, n in enumerate(nodes))
        (Path(folder) / "nodes.csv").write_text("name,address,zone,cell,kind,weight,state,started\n" + rows)
        fronts = [ServeFront(record, folder, CONF.format(name=name, port=ports[i], relay=relays.address(ports[i]),
                                                         peer=relays.address(ports[1 - i])), name)
                  for i, name in enumerate(NAMES)]
        try:
            for front in fronts:
                await front.start()
            return await play(record, trouble, fronts, relays)
        finally:
            for front in fronts:
                front.stop()


async def play(record, trouble, fronts, relays):
    one, two = fronts
    start = int(time.time() * 1000) + 40_000
    peak = {"name": "cup", "titles": ["t"], "class": "replay", "viewers": [[0, 100]], "start_ms": start,
            "end_ms": start + 600_000, "lead_ms": 60_000, "rung": 1, "cancelled": False}
    status, body = await operator(record, one, "POST", "/peaks", peak)
    if status != 201:
        raise RuntimeError(f"not announced: {status} {body}")
    for _ in range(100):
        if (await held(record, one))[1] > 0 and (await held(record, two))[1] > 0:
            break
        await asyncio.sleep(0.1)
    else:
        raise RuntimeError(f"not held by both fronts: {await held(record, one)}, {await held(record, two)}")
    record.line("case", f"held: {await held(record, one)}, {await held(record, two)}")
    relays.cut = trouble
    record.line("relays", "all datagrams are lost from now on" if trouble else "all datagrams pass")
    await asyncio.sleep(1.0)
    for viewers in (120, 150):
        status, _ = await operator(record, one, "PUT", "/peaks/cup", dict(peak, viewers=[[0, viewers]]))
        if status != 200:
            raise RuntimeError("not amended")
        await asyncio.sleep(1.0)
    status, _ = await operator(record, two, "DELETE", "/peaks/cup")
    if status != 200:
        raise RuntimeError("not called off")
    record.line("case", f"called off at {two.name}: {await held(record, one)}, {await held(record, two)}")
    await asyncio.sleep(CUT_S - 3.0)
    relays.cut = False
    record.line("relays", "all datagrams pass")
    healed, released = time.time(), {}
    while time.time() < healed + ALLOWED_S:
        for front in fronts:
            state, kb = await held(record, front)
            if kb == 0 and state in ("cancelled", "none"):
                released.setdefault(front.name, time.time() - healed)
            else:
                released.pop(front.name, None)
        await asyncio.sleep(0.25)
    record.line("case", f"released since (s after messages pass): {released}; {relays.passed} datagrams passed, {relays.lost} lost")
    found = []
    for front in fronts:
        state, kb = await held(record, front)
        record.line("case", f"{front.name} at the end: {state}, {kb} kB held")
        if front.name not in released:
            found.append(f"{front.name}: {ALLOWED_S:.0f} s after messages pass again the peak is '{state}' with {kb:.0f} kB held, "
                         f"though {two.name} answered 200 to the call-off and nobody has announced it since")
    return found


NAMES = ("front-2", "front-1")
main(case)
