"""Stand-ins for `pepperhook platform`: playout nodes, viewers and the change log, by PROTOCOL.md."""

import ipaddress
import json
import os
import queue
import socket
import struct
import threading
import time

from common import NotRun, Process, deploy_run, free_port, wait_until, write_json


def encode(first, fields, body=b""):
    lines = [first] + [f"{n}: {v}" for n, v in fields] + [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Message:
    def __init__(self, first, fields, body):
        self.first, self.fields, self.body = first, fields, body

    def get(self, name):
        return self.fields.get(name.lower(), "")

    @property
    def status(self):
        parts = self.first.split(" ")
        return int(parts[1]) if parts[0] == "RTSP/1.0" else None

    @property
    def method(self):
        return None if self.status is not None else self.first.split(" ")[0]

    def __str__(self):
        more = " ".join(f"{n}={self.get(n)}" for n in ("CSeq", "Reason", "X-Rung") if self.get(n))
        return f"{self.first} {more}".strip()


class Link:
    """One connection: a thread reads messages and hands each to `take(link, message)`; None is its end."""

    def __init__(self, sock, take):
        self.sock, self.take, self.open = sock, take, True
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        data = b""
        try:
            while True:
                while b"\r\n\r\n" in data:
                    head, _, rest = data.partition(b"\r\n\r\n")
                    lines = head.decode().split("\r\n")
                    fields = {}
                    for line in lines[1:]:
                        n, _, v = line.partition(":")
                        fields[n.strip().lower()] = v.strip()
                    length = int(fields.get("content-length", "0"))
                    if len(rest) < length:
                        break
                    data = rest[length:]
                    self.take(self, Message(lines[0], fields, rest[:length]))
                got = self.sock.recv(65536)
                if not got:
                    break
                data += got
        except OSError:
            pass
        self.open = False
        self.take(self, None)

    def send(self, data):
        try:
            self.sock.sendall(data)
            return True
        except OSError:
            return False

    def close(self, reset=False):
        try:
            if reset:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.sock.shutdown(socket.SHUT_RD) if reset else self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        try:
            self.sock.close()
        except OSError:
            pass


class Node:
    """A playout node: sets up what it is asked for, answers tests, and knows which sessions stand."""

    def __init__(self, name, record):
        self.name, self.record, self.port = name, record, free_port()
        self.lock = threading.RLock()
        self.links, self.standing, self.titles, self.cut = [], {}, {}, []
        self.set_ups = []
        self.listener = None
        self.refusing = False
        self.listen()

    def listen(self):
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind(("127.0.0.1", self.port))
        s.listen(64)
        self.listener, self.refusing = s, False
        threading.Thread(target=self._accept, args=(s,), daemon=True).start()

    def refuse(self):
        """Accepts no more connections: a new one is refused. Open ones stay."""
        self.refusing = True
        s, self.listener = self.listener, None
        try:
            s.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        s.close()
        self.record(self.name, "holds all the connections it accepts: new ones are refused")

    def _accept(self, s):
        while True:
            try:
                sock, _ = s.accept()
            except OSError:
                return
            with self.lock:
                self.record(self.name, "a connection came up")
                self.links.append(Link(sock, self._take))

    def _take(self, link, m):
        with self.lock:
            if m is None:
                if link in self.links:
                    self.links.remove(link)
                self.record(self.name, "a connection ended")
                return
            session = m.get("Session")
            if m.method == "OPTIONS":
                fields = [("CSeq", m.get("CSeq")), ("P-Load", "x0:0.1;x1:0.1")]
                fields += [("Session", session)] if session else []
                link.send(encode("RTSP/1.0 200 OK", fields))
                return
            self.record(self.name, f"got {session} {m}")
            if m.method == "SETUP":
                self.standing[session] = link
                self.titles[session] = m.first.split(" ")[1]
                self.set_ups.append((time.monotonic(), session))
                body = f"{session}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n".encode()
                link.send(encode("RTSP/1.0 200 OK", [("CSeq", 1), ("Session", session)], body))
            elif m.method == "TEARDOWN":
                link.send(encode("RTSP/1.0 200 OK", [("CSeq", 2), ("Session", session)]))
                if self.standing.pop(session, None) is not None:
                    self.cut.append((time.monotonic(), session, m.get("Reason")))
                    self.record(self.name, f"{session} is cut by the front end")

    def end_session(self, session, cause=16):
        with self.lock:
            link = self.standing.pop(session)
            if not link.open or link not in self.links:
                link = self.links[-1] if self.links else None
            if link is None:
                raise NotRun("the node has no connection")
            fields = [("CSeq", 2), ("Session", session), ("Reason", f"cause={cause}")]
            link.send(encode(f"TEARDOWN {self.titles[session]} RTSP/1.0", fields))
            self.record(self.name, f"{session} has come to its end, released with cause {cause}")
            return time.monotonic()


class Viewer:
    """One connection of a viewer."""

    def __init__(self, name, address, record):
        self.name, self.record = name, record
        self.got, self.all = queue.Queue(), []
        sock = socket.create_connection(address, timeout=5)
        sock.settimeout(None)
        self.link = Link(sock, self._take)
        record(name, "connected")

    def _take(self, _, m):
        self.record(self.name, "the connection ended" if m is None else f"got {m.get('Session')} {m}")
        if m is not None:
            self.all.append((time.monotonic(), m))
            if m.method in ("TEARDOWN", "REDIRECT"):
                self.link.send(encode("RTSP/1.0 200 OK", [("CSeq", m.get("CSeq")), ("Session", m.get("Session"))]))
        self.got.put(m)

    def set_up(self, session, title, cls, expires_ms=3000, home=0, copies=2):
        fields = [("CSeq", 1), ("Session", session), ("Priority-Class", cls), ("Expires-Ms", expires_ms),
                  ("P-Trunk-Info", f"home:{home};copies:{copies};top:1;viewer:{session}")]
        body = f"{session}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n".encode()
        self.record(self.name, f"sends SETUP {session}")
        self.link.send(encode(f"SETUP rtsp://media/{title} RTSP/1.0", fields, body))

    def ping(self):
        self.record(self.name, "sends OPTIONS rtsp://media/ping")
        self.link.send(encode("OPTIONS rtsp://media/ping RTSP/1.0", [("CSeq", 3)]))

    def answer(self, session, limit):
        """The final answer to a set-up, within the time limit, else None."""
        def found():
            return [m for _, m in self.all
                    if m.get("Session") == session and m.get("CSeq") == "1" and m.status and m.status >= 200]
        wait_until(found, limit)
        return (found() or [None])[0]

    def releases(self, session):
        return [(at, m) for at, m in self.all if m.get("Session") == session and m.method == "TEARDOWN"]


class ChangeLog:
    """Discovery: sends the events after the number that the front end writes, and an empty frame each second."""

    def __init__(self, record, name="changelog"):
        self.record, self.name = record, name
        self.events, self.last = {}, 0
        self.first_byte_after = 0.0
        self.lock = threading.Lock()
        self.socks = []
        self.requests = []
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        with self.lock:
            self.socks.append(sock)
        try:
            wanted = b""
            while len(wanted) < 8:
                got = sock.recv(8 - len(wanted))
                if not got:
                    return
                wanted += got
            after = struct.unpack(">Q", wanted)[0]
            with self.lock:
                self.requests.append(time.monotonic())
                delay = self.first_byte_after
            self.record(self.name, f"asked for the events after {after}; answers after {delay} s")
            sock.settimeout(0.01)
            end = time.monotonic() + delay
            while time.monotonic() < end:
                try:
                    if sock.recv(1) == b"":
                        self.record(self.name, "the front end closed the connection before its answer")
                        return
                except socket.timeout:
                    pass
            sock.settimeout(None)
            beat = 0.0
            while True:
                with self.lock:
                    due = sorted(n for n in self.events if n > after)
                    frames = [self.events[n] for n in due]
                    last = self.last
                for n, frame in zip(due, frames):
                    sock.sendall(frame)
                    after = n
                    self.record(self.name, f"event {n} sent")
                if time.monotonic() - beat >= 1.0:
                    sock.sendall(struct.pack(">IQB", 9, last, 0))
                    beat = time.monotonic()
                time.sleep(0.02)
        except OSError:
            pass
        finally:
            with self.lock:
                if sock in self.socks:
                    self.socks.remove(sock)
            sock.close()

    def tell(self, number, records):
        payload = b""
        for r in records:
            payload += struct.pack(">I4sHBBBHIQ", r["id"], ipaddress.ip_address("127.0.0.1").packed, r["port"],
                                   r["state"], 0, 0, r["cell"], 1000, r.get("started_ms", 0))
        with self.lock:
            self.events[number] = struct.pack(">IQB", 9 + len(payload), number, 2) + payload
            self.last = number
        self.record(self.name, f"event {number}: {records}")

    def break_off(self, then_first_byte_after):
        with self.lock:
            self.first_byte_after = then_first_byte_after
            socks = list(self.socks)
        self.record(self.name, f"breaks off; from now on it answers {then_first_byte_after} s after it is asked")
        for s in socks:
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def configuration(nodes, log_port, listen, idempotency="idempotent", probes=True, grace_ms=1000):
    servers = [{"id": f"s-{i:08x}", "addr": f"127.0.0.1:{n.port}", "zone": "z", "kind": "k", "cell": i,
                "state": "up", "weight": 1, "started_ms": 0} for i, n in enumerate(nodes)]
    return {
        "name": "n1", "listen": listen, "seed": "8c1f30d27a5be964", "changelog": f"127.0.0.1:{log_port}",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"version": 1, "full": True, "servers": servers}}]},
        "settings": {
            "n_instances": 1, "az": 0, "zones": ["z"], "flavors": ["k"],
            "classes": [{"name": "lesson", "idempotency": idempotency, "aim_ns": 800_000_000,
                         "deadline_ns": 3_000_000_000, "value": 1.0}],
            "limits": {"max_attempts": 3, "dial_timeout_ns": 250_000_000, "conn_idle_ns": 15_000_000_000,
                       "max_streams": 100, "probes": probes},
            "load_report": {"fields": ["x0", "x1"]},
            "rules": {"cold_ns": 12_000_000_000, "fall_multiple": 2.5, "fall_ns": 2_000_000_000,
                      "start_capacity": 0.4, "stop_sending_within_ns": grace_ms * 1_000_000},
            "specifics": {"groups": 1, "positions": 2, "highest_rung": [1], "lowest_rung": [0], "seats": [0],
                          "scale_by_class": [1.0], "rung_kb": [200.0, 400.0], "ladder_worth": [0.4, 1.0],
                          "kind_slots": [200], "uplink_kb": 900_000.0, "all_links_kb": 900_000.0,
                          "kb_per_weight": 400_000.0},
        },
    }


class Front:
    """`run` of the deploy file as a process."""

    def __init__(self, tmp, record, processes, nodes, log, **settings):
        self.address = ("127.0.0.1", free_port())
        listen = f"127.0.0.1:{self.address[1]}"
        self.file = os.path.join(tmp, "config.json")
        write_json(self.file, configuration(nodes, log.port, listen, **settings))
        scratch = os.path.join(tmp, "scratch")
        os.makedirs(scratch, exist_ok=True)
        env = {"BALANCER_NAME": "n1", "BALANCER_LISTEN": listen, "BALANCER_CONFIG": self.file, "TMPDIR": scratch}
        self.process = Process(["/bin/sh", "-c", deploy_run()], tmp, "front", record, env)
        processes.append(self.process)
        if not wait_until(lambda: self.process.logged("listening") or self.process.ended(), 30):
            raise NotRun("the front end was not ready within 30 s")
        if self.process.ended():
            raise NotRun("the front end ended at its start")


__all__ = ["ChangeLog", "Front", "Node", "Viewer", "json"]
