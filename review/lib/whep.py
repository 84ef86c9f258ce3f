"""Stand-ins for `serve`: playout nodes that speak WHEP, viewers, and the front as a process.

Everything is on 127.0.0.1 and free ports. A node's session paths are random, as WHEP servers make them, and it offers the
event streams and load reports that the front reads. Nothing here shares code with the project.
"""

import asyncio
import json
import os
import re
import secrets
import socket
import subprocess
import time
from pathlib import Path

from standins import ROOT

FINGERPRINT = ":".join(["AB"] * 32)
REL_EVENTS = "urn:ietf:params:whep:ext:core:server-sent-events"


def sdp(who, ufrag, pwd, setup, direction):
    text = f"v=0\r\no={who} 1 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\na=group:BUNDLE 0 1\r\n"
    for mid, (kind, fmt, codec) in enumerate([("audio", 111, "opus/48000/2"), ("video", 96, "VP8/90000")]):
        text += (f"m={kind} 9 UDP/TLS/RTP/SAVPF {fmt}\r\nc=IN IP4 127.0.0.1\r\na=mid:{mid}\r\na=ice-ufrag:{ufrag}\r\n"
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
    """A node: 201 to POST, 200 to DELETE, an event stream for each session."""

    def __init__(self, record, name, delay_s=0.02):
        self.record, self.name, self.delay_s = record, name, delay_s
        self.set_ups = []  # (Unix time, path)
        self.standing = {}  # path: event that is set when the session ends
        self.streams = set()  # paths of sessions whose event stream is open
        self.writers = set()

    async def start(self):
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(64)
        self.socket.setblocking(False)
        self.port = self.socket.getsockname()[1]
        self.accepting = asyncio.ensure_future(self.accept())

    def stop(self):
        """The process ends: nothing listens any more, and its connections are reset."""
        self.accepting.cancel()
        self.socket.close()
        for writer in self.writers:
            writer.transport.abort()

    def note(self, text):
        self.record.line(f"node {self.name}", text)

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.socket)
            asyncio.ensure_future(self.serve(connection))

    async def late_connections(self, seconds):
        """New connections do not come up for a time; open ones are served as ever."""
        self.accepting.cancel()
        await asyncio.sleep(0)
        self.socket.listen(0)
        fillers = []
        for _ in range(3):  # fill the listen queue, so that the next connection does not come up
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            fillers.append(filler)
        self.note(f"new connections do not come up for {seconds} s")
        await asyncio.sleep(seconds)
        for filler in fillers:
            filler.close()
        self.socket.listen(64)
        self.accepting = asyncio.ensure_future(self.accept())
        self.note("new connections come up again")

    async def serve(self, connection):
        reader, writer = await asyncio.open_connection(sock=connection)
        self.writers.add(writer)
        try:
            while (message := await read_http(reader)) is not None:
                await self.handle(message, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        self.writers.discard(writer)
        writer.close()

    async def handle(self, message, writer):
        method, path, _ = message[0].split(" ")
        if method == "POST" and path.endswith("/events"):
            session = path.removesuffix("/events")
            status = "201 Created" if session in self.standing else "404 Not Found"
            fields = [("location", path + "/stream")] if session in self.standing else []
            self.note(f"got {method} {path} -> {status}")
            writer.write(http(f"HTTP/1.1 {status}", fields))
        elif method == "POST":
            session = "/s/" + secrets.token_hex(8)
            self.set_ups.append((time.time(), path))
            await asyncio.sleep(self.delay_s)
            self.standing[session] = asyncio.Event()
            self.note(f"got {method} {path} -> 201 {session}")
            fields = [("location", session), ("content-type", "application/sdp"), ("etag", '"e0"'),
                      ("endpoint-load-metrics", "TEXT named_metrics.link=0.20, named_metrics.uplink=0.20"),
                      ("link", f'<{session}/events>; rel="{REL_EVENTS}"; events="inactive"')]
            writer.write(http("HTTP/1.1 201 Created", fields, sdp("node", "nodeufrag", "n" * 22, "passive", "sendonly")))
        elif method == "GET" and path.endswith("/events/stream"):
            session = path.removesuffix("/events/stream")
            self.note(f"got {method} {path} -> {200 if session in self.standing else 404}")
            if session not in self.standing:
                writer.write(http("HTTP/1.1 404 Not Found", []))
                return
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n: open\n\n")
            self.streams.add(session)
            over = self.standing[session]
            while not over.is_set():
                try:
                    await asyncio.wait_for(over.wait(), 1.0)
                except asyncio.TimeoutError:
                    writer.write(b": still here\n\n")
                    await writer.drain()
            self.streams.discard(session)
            raise ConnectionError("the stream ends with its session")
        elif method == "DELETE":
            over = self.standing.pop(path, None)
            self.note(f"got {method} {path} -> {200 if over else 404}")
            if over:
                over.set()
            writer.write(http("HTTP/1.1 200 OK" if over else "HTTP/1.1 404 Not Found", []))
        else:
            writer.write(http("HTTP/1.1 200 OK", []))


class ServeFront:
    """`pepperhook serve` with its settings in a folder of its own."""

    def __init__(self, record, folder, conf, name="front"):
        self.record, self.folder, self.name = record, Path(folder), name
        (self.folder / f"{name}.conf").write_text(conf)

    async def start(self):
        self.log = open(self.folder / f"{self.name}.log", "w")
        self.process = subprocess.Popen([ROOT / "target/release/pepperhook", "serve", "-c", f"{self.name}.conf"],
                                        cwd=self.folder, stdout=subprocess.PIPE, stderr=self.log,
                                        env=dict(os.environ, TMPDIR=str(self.folder)))
        line = await asyncio.get_running_loop().run_in_executor(None, self.process.stdout.readline)
        if not line:
            raise RuntimeError(f"{self.name} did not start: " + (self.folder / f"{self.name}.log").read_text()[-500:])
        ready = json.loads(line)
        self.port = int(ready["address"].rsplit(":", 1)[1])
        self.admin = int(ready["admin"].rsplit(":", 1)[1])
        self.record.line(self.name, "started: target/release/pepperhook serve")

    def stop(self):
        process = getattr(self, "process", None)
        if process is None:
            return
        if process.poll() is None:
            process.kill()
        process.wait()
        process.stdout.close()
        self.log.close()
        self.record.line(self.name, f"ended, status {process.returncode}")
        for line in (self.folder / f"{self.name}.log").read_text().splitlines()[-40:]:
            self.record.line(f"{self.name} log", re.sub("\x1b\\[[0-9;]*m", "", line))


async def ask(port, method, path, fields=(), body=b"", limit_s=8.0):
    """One request on a connection of its own; the whole answer, or `None` if none came in time."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(http(f"{method} {path} HTTP/1.1", [("host", "front"), ("connection", "close"), *fields], body))
        try:
            return await asyncio.wait_for(read_http(reader), limit_s)
        finally:
            writer.close()
    except (asyncio.TimeoutError, ConnectionError):
        return None


async def watch(port, title, viewer, limit_s=8.0):
    """A viewer's set-up. Returns the status (0: no answer) and the session's resource."""
    offer = sdp(viewer, "view" + viewer.rjust(4, "0")[:60], "p" * 22, "actpass", "recvonly")
    answer = await ask(port, "POST", f"/whep/{title}?viewer={viewer}", [("content-type", "application/sdp")], offer, limit_s)
    if answer is None:
        return 0, ""
    return int(answer[0].split(" ")[1]), answer[1].get("location", "")


class Events:
    """A viewer's event stream at the front; `names` are the events that came."""

    def __init__(self, port, resource):
        self.port, self.resource, self.names, self.ended = port, resource, [], False

    async def open(self):
        answer = await ask(self.port, "POST", self.resource + "/events", [("content-type", "application/json")], b'["inactive"]')
        if answer is None or " 201 " not in answer[0]:
            raise RuntimeError(f"no event stream: {answer}")
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writer.write(http(f"GET {answer[1]['location']} HTTP/1.1", [("host", "front")]))
        head = await self.reader.readuntil(b"\r\n\r\n")
        if b" 200 " not in head.split(b"\r\n")[0]:
            raise RuntimeError(f"no event stream: {head}")
        self.task = asyncio.ensure_future(self.read())

    async def read(self):
        name = ""
        try:
            while line := (await self.reader.readline()).decode().strip() or "-":
                if line.startswith("event:"):
                    name = line[6:].strip()
                elif line.startswith("data:"):
                    self.names.append(f"{name} {line[5:].strip()}")
                if self.reader.at_eof():
                    break
        except ConnectionError:
            pass
        self.ended = True
