"""Stand-ins for the platform's sockets: playout nodes, a change log and viewers, and the front as a process.

Everything is on 127.0.0.1 and free ports. A node answers as its `behaviour` says; what it received and sent is kept with
its time in a common record. Nothing here shares code with the project.
"""

import asyncio
import json
import os
import signal
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


class Record:
    """What was sent, answered and run, with the Unix time of each line."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.time()

    def line(self, who, text):
        self.file.write(f"{time.time() - self.start:9.3f} {who:12} {text}\n")
        self.file.flush()


def encode(first, fields, body=b""):
    head = first + "\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields)
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


async def read_message(reader):
    """One message: its first line, its fields by lower-case name, its body. `None` at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.split("\r\n")
        fields = dict((k.lower(), v.strip()) for k, v in (l.split(":", 1) for l in lines[1:] if l))
        body = await reader.readexactly(int(fields.get("content-length", "0")))
        return lines[0], fields, body
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


class Node:
    """A playout node. `behaviour(node, id, fields)` returns what becomes of a set-up:
    ("play", seconds of delay), ("full",), ("error",) or ("silent",)."""

    def __init__(self, record, number, zone, cell, behaviour):
        self.record, self.number, self.zone, self.cell, self.behaviour = record, number, zone, cell, behaviour
        self.name = f"s-{number:08x}"
        self.arrivals = []  # of set-ups: (Unix time, id, outcome)
        self.given_up = []  # (Unix time, id)
        self.standing = {}  # id: writer of its set-up
        self.writers = set()
        self.vanished = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state="up"):
        return {"id": self.name, "addr": f"127.0.0.1:{self.port}", "zone": self.zone, "kind": "std",
                "cell": self.cell, "state": state, "weight": 4, "started_ms": 0}

    def note(self, text):
        self.record.line(self.name[-4:] + "/" + self.zone, text)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.handle(reader, writer)
        except asyncio.CancelledError:
            pass
        self.writers.discard(writer)
        writer.close()

    async def handle(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            first, fields, _body = message
            method, sid = first.split(" ")[0], fields.get("session", "")
            if method == "SETUP":
                asyncio.ensure_future(self.set_up(writer, sid, fields))
            elif method == "TEARDOWN":
                if "reason" in fields:
                    self.standing.pop(sid, None)
                else:
                    self.given_up.append((time.time(), sid))
                    self.standing.pop(sid, None)
                self.note(f"TEARDOWN {sid} {fields.get('reason', '(given up)')}")
                self.send(writer, "RTSP/1.0 200 OK", [("CSeq", 2), ("Session", sid)])
            elif method == "OPTIONS":
                self.send(writer, "RTSP/1.0 200 OK", [("CSeq", 3), ("Session", sid), ("P-Load", "x0:0.30;x1:0.30")])

    def end(self, sid, cause=16):
        """The session has come to its end: a release on the connection of its set-up, else on any open one."""
        writer = self.standing.pop(sid)
        writer = writer if writer in self.writers else next(iter(self.writers), None)
        self.note(f"session {sid} ends, release cause={cause}" + ("" if writer else ", no connection to send it on"))
        if writer:
            self.send(writer, "TEARDOWN rtsp://media/end RTSP/1.0", [("CSeq", 2), ("Session", sid), ("Reason", f"cause={cause}")])
        return writer is not None

    def tell(self, word, value):
        """A note on one session that stands, as nodes send them every few seconds."""
        sid, writer = next(iter(self.standing.items()), (None, None))
        if sid and writer in self.writers:
            self.send(writer, "ANNOUNCE rtsp://media/note RTSP/1.0",
                      [("CSeq", 5), ("Session", sid), ("Warning-Word", word), ("X-Value", f"{value:.2f}")])

    def vanish(self):
        """The machine vanishes: nothing is read or written any more, and new connections never come up."""
        self.vanished = True
        self.note(f"the machine vanishes with {sorted(self.standing)}")
        loop, sock = asyncio.get_running_loop(), self.server.sockets[0]
        loop.remove_reader(sock.fileno())
        for writer in self.writers:
            writer.transport.pause_reading()
        import socket
        raw = socket.socket(fileno=os.dup(sock.fileno()))
        raw.listen(0)
        self.held = [raw]
        for _ in range(4):  # fills the listen queue, so that the next connection does not come up
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.held.append(filler)

    def send(self, writer, first, fields, body=b""):
        if self.vanished:
            return
        try:
            writer.write(encode(first, fields, body))
        except ConnectionError:
            pass

    async def set_up(self, writer, sid, fields):
        what = self.behaviour(self, sid, fields)
        self.arrivals.append((time.time(), sid, what[0]))
        self.note(f"SETUP {sid} class={fields.get('priority-class')} Expires-Ms={fields.get('expires-ms')} -> {what[0]}")
        if what[0] == "play":
            await asyncio.sleep(what[1])
            if any(i == sid for _, i in self.given_up):
                return
            self.standing[sid] = writer
            self.send(writer, "RTSP/1.0 200 OK", [("CSeq", 1), ("Session", sid)], f"node {self.name} {sid}".encode())
        elif what[0] in ("full", "error"):
            status = {"full": "453 Not Enough Bandwidth", "error": "500 Internal Server Error"}[what[0]]
            self.send(writer, "RTSP/1.0 " + status, [("CSeq", 1), ("Session", sid)])


class ChangeLog:
    """Sends the events that follow the number asked for, and an empty frame each second."""

    def __init__(self, record, last):
        self.record, self.last, self.frames = record, last, {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            have = struct.unpack(">Q", await reader.readexactly(8))[0]
            self.record.line("change log", f"asked for the events after {have}")
            due = 0.0
            while True:
                while have < self.last:
                    have += 1
                    writer.write(self.frames[have])
                if time.time() >= due:
                    writer.write(struct.pack(">IQB", 9, self.last, 0))
                    due = time.time() + 1.0
                await writer.drain()
                await asyncio.sleep(0.02)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        writer.close()


class Front:
    """The front as `run` of the deploy file starts it."""

    def __init__(self, record, config):
        self.record, self.config = record, config

    async def start(self):
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.path = Path(self.folder.name) / "config.json"
        self.path.write_text(json.dumps(self.config))
        self.log = open(Path(self.folder.name) / "log", "w+")
        environment = dict(os.environ, BALANCER_NAME=self.config["name"], BALANCER_LISTEN=self.config["listen"],
                           BALANCER_CONFIG=str(self.path), TMPDIR=self.folder.name)
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=self.log,
                                        stderr=self.log, start_new_session=True)
        self.port = int(self.config["listen"].rsplit(":", 1)[1])
        for _ in range(200):
            if "listening" in Path(self.log.name).read_text():
                self.record.line("front", f"started: {run}")
                return
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        raise RuntimeError("the front did not start: " + Path(self.log.name).read_text()[-500:])

    def signal(self, number):
        self.record.line("front", f"signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    def stop(self):
        if getattr(self, "process", None) is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()
            self.record.line("front", f"ended, status {self.process.returncode}")
            for line in Path(self.log.name).read_text().splitlines()[:40]:
                self.record.line("front log", line.encode().decode("ascii", "ignore"))
            self.log.close()
            self.folder.cleanup()


class Viewer:
    """One connection of a viewer; `answers` has the first answer for each id, `messages` all that came."""

    def __init__(self, record, name):
        self.record, self.name, self.answers, self.messages, self.waiting = record, name, {}, [], {}

    async def connect(self, port):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.task = asyncio.ensure_future(self.listen())

    async def listen(self):
        while (message := await read_message(self.reader)) is not None:
            first, fields, body = message
            sid = fields.get("session", "")
            self.messages.append((time.time(), first, fields, body))
            self.record.line(self.name, f"got {first} {sid} {fields.get('reason', '')}")
            if first.startswith("RTSP/1.0 ") and fields.get("cseq") == "1" and not first.startswith("RTSP/1.0 1"):
                self.answers.setdefault(sid, []).append((time.time(), int(first.split(" ")[1]), body))
                if sid in self.waiting and not self.waiting[sid].done():
                    self.waiting[sid].set_result(int(first.split(" ")[1]))
            elif first.startswith("TEARDOWN"):
                self.writer.write(encode("RTSP/1.0 200 OK", [("CSeq", 2), ("Session", sid)]))
        self.record.line(self.name, "connection ended by the front")
        self.writer.close()

    def set_up(self, sid, title, cls, expires_ms, trunk):
        fields = [("CSeq", 1), ("Session", sid), ("Priority-Class", cls), ("Expires-Ms", expires_ms), ("P-Trunk-Info", trunk)]
        self.record.line(self.name, f"sends SETUP {sid} title={title} class={cls} Expires-Ms={expires_ms} {trunk}")
        self.waiting[sid] = asyncio.get_running_loop().create_future()
        self.writer.write(encode(f"SETUP rtsp://media/{title} RTSP/1.0", fields, b"viewer " + sid.encode()))
        return self.waiting[sid]

    def release(self, sid, title, reason=None):
        fields = [("CSeq", 2), ("Session", sid)] + ([("Reason", reason)] if reason else [])
        self.record.line(self.name, f"sends TEARDOWN {sid} {reason or '(given up)'}")
        self.writer.write(encode(f"TEARDOWN rtsp://media/{title} RTSP/1.0", fields))

    def close(self):
        self.task.cancel()
        self.writer.close()


def free_port():
    import socket
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


async def finish(case):
    """Awaits the case, then ends what still runs in the loop."""
    try:
        return await case
    finally:
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)


def main(case, limit_s=115):
    """Runs `case(record, trouble)`, which returns a list of violations. Exit 1, 0 or 2. The first argument names the record."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(sys.argv[1])
    record.line("case", f"TROUBLE={int(trouble)}")
    try:
        violations = asyncio.run(finish(asyncio.wait_for(case(record, trouble), limit_s)))
    except Exception as e:  # the case could not run
        record.line("case", f"could not run: {e!r}")
        print(f"could not run: {e!r}")
        sys.exit(2)
    for v in violations:
        record.line("violation", v)
        print("violation:", v)
    record.line("case", "the rule was broken" if violations else "the rule held")
    print("the rule was broken" if violations else "the rule held")
    sys.exit(1 if violations else 0)
