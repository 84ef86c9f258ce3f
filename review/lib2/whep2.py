"""Stand-ins for `pepperhook serve`: playout nodes that speak WHEP, and viewers (RFC 9725; the project's WHEP page)."""

import json
import os
import socket
import struct
import threading
import time
import uuid

from common import ROOT, NotRun, Process, free_port, wait_until


def offer(n):
    fingerprint = ":".join(["AB"] * 32)
    return (f"v=0\r\no=viewer {n} 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\na=group:BUNDLE 0\r\n"
            "m=video 9 UDP/TLS/RTP/SAVPF 96\r\nc=IN IP4 0.0.0.0\r\na=mid:0\r\na=recvonly\r\na=rtcp-mux\r\n"
            f"a=ice-ufrag:v{n:06}\r\na=ice-pwd:0123456789012345678901\r\na=setup:actpass\r\n"
            f"a=fingerprint:sha-256 {fingerprint}\r\na=rtpmap:96 VP8/90000\r\n").encode()


def answer(n):
    fingerprint = ":".join(["CD"] * 32)
    return (f"v=0\r\no=- {n} 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\na=group:BUNDLE 0\r\na=ice-lite\r\n"
            "m=video 9 UDP/TLS/RTP/SAVPF 96\r\nc=IN IP4 127.0.0.1\r\na=mid:0\r\na=ice-ufrag:node00\r\n"
            "a=ice-pwd:standinpassword0123456789\r\n"
            f"a=fingerprint:sha-256 {fingerprint}\r\na=setup:passive\r\na=rtcp-mux\r\na=sendonly\r\n"
            "a=rtpmap:96 VP8/90000\r\n").encode()


FRAGMENT = (b"a=ice-ufrag:v000001\r\na=ice-pwd:0123456789012345678901\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\na=mid:0\r\n"
            b"a=candidate:1 1 udp 2130706431 127.0.0.1 9 typ host\r\n")


def read_head(f):
    first = f.readline()
    if not first:
        return None, {}
    fields = {}
    while True:
        line = f.readline()
        if not line:
            return None, {}
        if line in (b"\r\n", b"\n"):
            return first.decode().strip(), fields
        name, _, value = line.decode().partition(":")
        fields[name.strip().lower()] = value.strip()


class WhepNode:
    """A playout node; session paths are unguessable. `patch_takes` is its time to answer a PATCH."""

    def __init__(self, name, record):
        self.name, self.record, self.port = name, record, free_port()
        self.lock = threading.RLock()
        self.standing, self.streams, self.set_ups, self.deleted = {}, [], 0, []
        self.set_up_times = []
        self.patch_takes, self.patches = 0.0, 0
        self.set_up_takes, self.offers = 0.0, []
        self.rungs, self.layer_requests, self.reset_layer_requests = {}, [], 0
        self.listener = None
        self.listen()

    def listen(self):
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind(("127.0.0.1", self.port))
        s.listen(64)
        self.listener = s
        threading.Thread(target=self._accept, args=(s,), daemon=True).start()

    def _accept(self, s):
        while True:
            try:
                sock, _ = s.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        f = sock.makefile("rb")
        try:
            while True:
                first, fields = read_head(f)
                if first is None:
                    return
                body = f.read(int(fields.get("content-length", "0")))
                method, path, _ = first.split(" ")
                if not self._reply(sock, method, path, body):
                    return
        except (OSError, ValueError):
            pass
        finally:
            sock.close()

    def _send(self, sock, status, fields=(), body=b""):
        head = [f"HTTP/1.1 {status}"] + [f"{n}: {v}" for n, v in fields]
        head += [f"content-length: {len(body)}"] if not status.startswith("204") else []
        sock.sendall("\r\n".join(head + ["", ""]).encode() + body)
        return True

    def _reply(self, sock, method, path, body):
        parts = path.strip("/").split("/")
        self.record(self.name, f"got {method} {path}")
        if method == "OPTIONS":
            return self._send(sock, "204 No Content", [("accept-post", "application/sdp")])
        if method == "POST" and parts[0] == "whep":
            with self.lock:
                self.set_ups += 1
                self.set_up_times.append(time.monotonic())
                self.offers.append(body)
                n, session = self.set_ups, uuid.uuid4().hex
                self.standing[session] = time.monotonic()
                self.rungs[session] = 0
            time.sleep(self.set_up_takes)
            self.record(self.name, f"answers set-up {n}: it plays")
            base = f"/s/{session}"
            links = [("link", f'<{base}/events>; rel="urn:ietf:params:whep:ext:core:server-sent-events"; '
                              'events="inactive"'),
                     ("link", f'<{base}/layer>; rel="urn:ietf:params:whep:ext:core:layer"')]
            return self._send(sock, "201 Created",
                              [("content-type", "application/sdp"), ("location", base), ("etag", f'"e{n}"')] + links,
                              answer(n))
        if len(parts) < 2 or parts[1] not in self.standing:
            return self._send(sock, "404 Not Found")
        session = parts[1]
        if method == "DELETE":
            with self.lock:
                self.standing.pop(session, None)
                self.deleted.append(session)
            return self._send(sock, "200 OK")
        if method == "PATCH":
            with self.lock:
                self.patches += 1
            time.sleep(self.patch_takes)
            self.record(self.name, f"answers PATCH {path} with 204")
            return self._send(sock, "204 No Content", [("etag", '"e1"')])
        if method == "POST" and parts[2:] == ["layer"]:
            with self.lock:
                self.layer_requests.append((time.monotonic(), session))
                if self.reset_layer_requests > 0:
                    self.reset_layer_requests -= 1
                    self.record(self.name, "the connection is reset under this request")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    return False
                self.rungs[session] = int(json.loads(body)["encodingId"])
                self.record(self.name, f"{session} plays on rung {self.rungs[session]}")
            return self._send(sock, "200 OK")
        if method == "POST" and parts[2:] == ["events"]:
            return self._send(sock, "201 Created", [("location", f"{path}/stream")])
        if method == "GET" and parts[2:] == ["events", "stream"]:
            sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n")
            with self.lock:
                self.streams.append(sock)
            while True:
                sock.sendall(b"4\r\n: \n\n\r\n")
                time.sleep(0.5)
        return self._send(sock, "404 Not Found")


class Answer:
    def __init__(self, status, fields, body):
        self.status, self.fields, self.body = status, fields, body


class Client:
    """One HTTP connection of a viewer."""

    def __init__(self, name, address, record):
        self.name, self.record = name, record
        self.sock = socket.create_connection(address, timeout=5)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.f = self.sock.makefile("rb")

    def send(self, method, path, fields=(), body=b""):
        head = [f"{method} {path} HTTP/1.1", "host: front"] + [f"{n}: {v}" for n, v in fields]
        head += [f"content-length: {len(body)}", "", ""]
        self.record(self.name, f"sends {method} {path}")
        self.sock.sendall("\r\n".join(head).encode() + body)

    def read(self, limit):
        """The whole answer, or None if the connection ends or the time is up before it is whole."""
        self.sock.settimeout(limit)
        try:
            first, fields = read_head(self.f)
            if first is None:
                self.record(self.name, "the connection ended with no answer")
                return None
            length = int(fields.get("content-length", "0"))
            body = self.f.read(length)
            if len(body) < length:
                self.record(self.name, "the connection ended within the answer")
                return None
        except (OSError, ValueError) as e:
            self.record(self.name, f"no whole answer: {e!r}")
            return None
        self.record(self.name, f"got {first}")
        return Answer(int(first.split(" ")[1]), fields, body)

    def ask(self, method, path, fields=(), body=b"", limit=6):
        self.send(method, path, fields, body)
        return self.read(limit)

    def ask_to_play(self, title, n):
        self.send("POST", f"/whep/{title}?viewer=v{n}", [("content-type", "application/sdp")], offer(n))

    def play(self, title, n, limit=6):
        self.ask_to_play(title, n)
        return self.read(limit)


def settings(cells, titles, more="", name="front", sections="", floor=0, repeat="harmless"):
    text = f"""name {name}
listen 127.0.0.1:0
admin 127.0.0.1:0
admin-key key
inventory nodes.csv
zones z
zone z
racks 1
cells {cells}
uplink-kb 400000
kb-per-weight 100000
all-links-kb {100000 * cells}
gauges link
{more}
section ladder
rung 200 0.4
rung 400 1
section class replay
aim 800ms
patience 4s
repeat {repeat}
{f"floor {floor}" if floor else ""}
section kind std
streams 200
section rules
cold-share 0.4
cold 12s
fall-multiple 2.5
fall-window 2s
"""
    for title, home, copies in titles:
        text += f"section title {title}\nhome {home}\ncopies {copies}\nclass replay\n"
    return text + sections


HEADER = "name,address,zone,cell,kind,weight,state,started\n"


def row(i, node):
    return f"{node.name},127.0.0.1:{node.port},z,{i},std,1,ready,\n"


class ServeFront:
    """`pepperhook serve` as a process: the program that `build` of the deploy file makes."""

    def __init__(self, tmp, record, processes, nodes, titles, more="", name="front", sections="", floor=0,
                 cells=None, rows=None, repeat="harmless"):
        os.makedirs(os.path.join(tmp, name), exist_ok=True)
        tmp = os.path.join(tmp, name)
        self.list = os.path.join(tmp, "nodes.csv")
        with open(self.list, "w", encoding="utf-8") as f:
            f.write(rows or HEADER + "".join(row(i, n) for i, n in enumerate(nodes)))
        conf = os.path.join(tmp, "front.conf")
        with open(conf, "w", encoding="utf-8") as f:
            f.write(settings(cells or len(nodes), titles, more, name, sections, floor, repeat))
        command = [os.path.join(ROOT, "target", "release", "pepperhook"), "serve", "-c", conf]
        self.process = Process(command, tmp, name, record, cwd=tmp)
        processes.append(self.process)
        if not wait_until(lambda: "address" in self.process.printed() or self.process.ended(), 30):
            raise NotRun("the front was not ready within 30 s")
        if self.process.ended():
            raise NotRun("the front ended at its start")
        addresses = json.loads(self.process.printed().splitlines()[0])
        host, port = addresses["address"].rsplit(":", 1)
        self.address = (host, int(port))
        host, port = addresses["admin"].rsplit(":", 1)
        self.admin = (host, int(port))

    def operator(self, method, path, body=b"", limit=5):
        """One request of an operator at the admin address."""
        c = Client("operator", self.admin, self.process.record)
        c.record("operator", f"asks {self.process.name}:")
        fields = [("authorization", "Bearer key"), ("content-type", "application/json"), ("connection", "close")]
        a = c.ask(method, path, fields, body, limit)
        c.sock.close()
        if a is None:
            raise NotRun(f"an operator got no answer from {self.process.name}")
        return a
