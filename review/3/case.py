"""`serve`: a request that was taken before SIGTERM gets its answer before the front exits."""

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from standins import ROOT, main  # noqa: E402

NODES, VIEWERS = 8, 24
SLOW_NODE, SLOW_S = 3, 1.0  # one of eight nodes is slow: it answers a PATCH after 1 s, the others after 20 ms
TAKEN_BEFORE_S = 0.2  # the PATCH requests are complete this long before SIGTERM
FINGERPRINT = ":".join(["AB"] * 32)
CONF = """name front
listen 127.0.0.1:0
admin 127.0.0.1:0
inventory nodes.csv
zones z
zone z
racks 2
cells 8
uplink-kb 400000
kb-per-weight 120000
all-links-kb 960000
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
copies 8
class replay
"""


def sdp(who, ufrag, pwd, setup, direction):
    text = f"v=0\r\no={who} 1 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\na=group:BUNDLE 0 1\r\n"
    for mid, (kind, fmt, codec) in enumerate([("audio", 111, "opus/48000/2"), ("video", 96, "VP8/90000")]):
        text += (f"m={kind} 9 UDP/TLS/RTP/SAVPF {fmt}\r\nc=IN IP4 0.0.0.0\r\na=mid:{mid}\r\na=ice-ufrag:{ufrag}\r\n"
                 f"a=ice-pwd:{pwd}\r\na=fingerprint:sha-256 {FINGERPRINT}\r\na=setup:{setup}\r\na=rtcp-mux\r\n"
                 f"a={direction}\r\na=rtpmap:{fmt} {codec}\r\n")
    return text.encode()


async def read_http(reader):
    """One HTTP message: first line, fields, body; `None` if the connection ends before it is whole."""
    try:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = dict((k.lower(), v.strip()) for k, v in (l.split(":", 1) for l in lines[1:] if l))
        return lines[0], fields, await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def http(first, fields, body=b""):
    length = "" if " 204 " in first else f"content-length: {len(body)}\r\n"  # a 204 has none (RFC 9110, 8.6)
    return (first + "\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields) + length + "\r\n").encode() + body


class WhepNode:
    """A node that speaks WHEP: 201 to POST, 204 to PATCH, 200 to DELETE."""

    def __init__(self, record, number):
        self.record, self.number, self.sessions = record, number, 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while (message := await read_http(reader)) is not None:
                method, path, _ = message[0].split(" ")
                self.record.line(f"node {self.number}", f"got {method} {path}")
                if method == "POST":
                    self.sessions += 1
                    answer = http("HTTP/1.1 201 Created",
                                  [("location", f"/s/{self.number}-{self.sessions}"), ("content-type", "application/sdp"), ("etag", '"e0"')],
                                  sdp("node", "nodeufrag", "n" * 22, "passive", "sendonly"))
                elif method == "PATCH":
                    await asyncio.sleep(SLOW_S if self.number == SLOW_NODE else 0.02)
                    answer = http("HTTP/1.1 204 No Content", [("etag", '"e0"')])
                else:
                    answer = http("HTTP/1.1 200 OK", [])
                self.record.line(f"node {self.number}", f"answers {answer.split(chr(13).encode())[0].decode()} to {method} {path}")
                writer.write(answer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        writer.close()


async def case(record, trouble):
    nodes = [WhepNode(record, i) for i in range(NODES)]
    for node in nodes:
        await node.start()
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        rows = "".join(f"n{n.number},127.0.0.1:{n.port},z,{n.number},std,1,ready,\n" for n in nodes)
        (Path(folder) / "nodes.csv").write_text("name,address,zone,cell,kind,weight,state,started\n" + rows)
        (Path(folder) / "front.conf").write_text(CONF)
        log = open(Path(folder) / "log", "w")
        process = subprocess.Popen([ROOT / "target/release/pepperhook", "serve", "-c", "front.conf"], cwd=folder,
                                   stdout=subprocess.PIPE, stderr=log, env=dict(os.environ, TMPDIR=folder))
        try:
            port = int(json.loads(process.stdout.readline())["address"].rsplit(":", 1)[1])
            return await play(record, trouble, process, port)
        finally:
            if process.poll() is None:
                process.kill()
            process.wait()
            record.line("front", f"ended, status {process.returncode}")
            log.close()
            for line in (Path(folder) / "log").read_text().splitlines()[-12:]:
                record.line("front log", re.sub("\x1b\\[[0-9;]*m", "", line))


async def play(record, trouble, process, port):
    viewers = []
    for i in range(VIEWERS):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        offer = sdp(f"viewer{i}", f"view{i:04d}", "p" * 22, "actpass", "recvonly")
        writer.write(http(f"POST /whep/t?viewer=v{i} HTTP/1.1", [("host", "front"), ("content-type", "application/sdp")], offer))
        answer = await read_http(reader)
        if answer is None or " 201 " not in answer[0]:
            raise RuntimeError(f"viewer {i}: no session: {answer}")
        viewers.append((i, reader, writer, answer[1]["location"]))
    ends = {}

    async def trickle(i, reader, writer, location):
        fragment = (f"a=ice-ufrag:view{i:04d}\r\na=ice-pwd:{'p' * 22}\r\nm=audio 9 UDP/TLS/RTP/SAVPF 0\r\na=mid:0\r\n"
                    f"a=candidate:1 1 udp 2130706431 127.0.0.1 {40000 + i} typ host\r\n").encode()
        writer.write(http(f"PATCH {location} HTTP/1.1", [("host", "front"), ("content-type", "application/trickle-ice-sdpfrag"), ("if-match", '"e0"')], fragment))
        await writer.drain()
        record.line(f"viewer {i}", f"sent PATCH {location}")
        answer = await read_http(reader)
        ends[i] = answer[0] if answer else None
        record.line(f"viewer {i}", f"answer {answer[0]}" if answer else "the connection ended without an answer")

    tasks = [asyncio.ensure_future(trickle(*v)) for v in viewers]
    await asyncio.sleep(TAKEN_BEFORE_S)
    open_then = [i for i, *_ in viewers if i not in ends]
    record.line("case", f"{len(open_then)} of {VIEWERS} PATCH requests have no answer yet")
    if not open_then:
        raise RuntimeError("no request was open: not the load that the case needs")
    stopped_at = time.time()
    if trouble:
        record.line("front", "signal SIGTERM")
        process.send_signal(signal.SIGTERM)
    await asyncio.wait(tasks, timeout=8)
    for _ in range(80):
        if process.poll() is not None or not trouble:
            break
        await asyncio.sleep(0.1)
    record.line("case", f"exit status {process.poll()} within {time.time() - stopped_at:.2f} s of the signal or its time")
    return [f"viewer {i}: its PATCH was complete {TAKEN_BEFORE_S} s before SIGTERM and got no answer"
            for i, *_ in viewers if ends.get(i) is None]


main(case)
