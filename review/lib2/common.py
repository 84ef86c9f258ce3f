"""Shared parts of the cases 6 to 10: the record, free ports, processes of the project."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not be run: neither held nor broken."""


class Record:
    """record.txt: one line for each thing that was sent, answered or run, with seconds since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, who, what):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{self.now():8.3f} {who:<12} {what}\n")
                self.file.flush()


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def free_port():
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def deploy_run():
    """The value of `run` in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as f:
        for line in f:
            name, _, value = line.partition("=")
            if name.strip() == "run":
                return value.strip().strip('"')
    raise NotRun("deploy/balancer.toml has no run")


def wait_until(test, limit, step=0.01):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if test():
            return True
        time.sleep(step)
    return bool(test())


class Process:
    """A process of the project; its standard error goes to a file in the temporary folder."""

    def __init__(self, command, folder, name, record, env=None, cwd=ROOT):
        self.log = os.path.join(folder, name + ".log")
        self.out = os.path.join(folder, name + ".out")
        self.record, self.name = record, name
        self.child = subprocess.Popen(
            command, cwd=cwd, env={**os.environ, "NO_COLOR": "1", **(env or {})}, stdin=subprocess.DEVNULL,
            stdout=open(self.out, "wb"), stderr=open(self.log, "wb"))
        record("case", f"started {name}, process {self.child.pid}")

    def logged(self, text):
        with open(self.log, "rb") as f:
            return text.encode() in f.read()

    def printed(self):
        with open(self.out, "rb") as f:
            return f.read().decode()

    def send(self, sig):
        self.record("case", f"{signal.Signals(sig).name} to {self.name}")
        self.child.send_signal(sig)

    def ended(self):
        return self.child.poll() is not None

    def end(self):
        if not self.ended():
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        self.child.wait()


def main(case):
    """Runs `case(record, temporary_folder, processes)`, which returns a list of breaches, and exits 0, 1 or 2. The
    script's argument is the path of its record."""
    record, processes = Record(sys.argv[1]), []
    record("case", f"trouble: {'yes' if trouble() else 'no'}")
    try:
        with tempfile.TemporaryDirectory(prefix="pepperhook-review-") as tmp:
            try:
                breaches = case(record, tmp, processes)
            finally:
                for p in processes:
                    p.end()
                    record("case", f"{p.name} ended with {p.child.returncode}; its log:")
                    with open(p.log, encoding="utf-8", errors="replace") as f:
                        for line in f.read().splitlines()[-40:]:
                            record(p.name, line)
    except NotRun as e:
        record("case", f"not run: {e}")
        print(f"not run: {e}")
        sys.stdout.flush()
        os._exit(NOT_RUN)
    except Exception as e:  # noqa: BLE001: any fault of the script is no verdict
        record("case", f"not run: {type(e).__name__}: {e}")
        import traceback
        traceback.print_exc()
        sys.stderr.flush()
        os._exit(NOT_RUN)
    for b in breaches:
        record("BROKEN", b)
        print("broken:", b)
    if not breaches:
        record("case", "the rule held")
        print("held")
    sys.stdout.flush()
    os._exit(BROKEN if breaches else HELD)


def write_json(path, value):
    with open(path + ".new", "w", encoding="utf-8") as f:
        json.dump(value, f)
    os.replace(path + ".new", path)
