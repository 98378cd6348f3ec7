"""Stand-ins for the cases 6 to 10: event bus, media servers, viewers, and the front node's process.

All of them follow the operators' protocol page. Every address is in 127.0.0.0/8, every port is chosen by the system.
One thread and one asyncio loop run all stand-ins of a case. Each message is written to `record.txt` in the case's folder.
"""
import asyncio
import ctypes
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """The record of a run: one line for each message and each deed, with the seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, who, what, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{self.now():9.4f} {who:12} {what} {text}".rstrip() + "\n")


class Bus:
    """The event bus: numbered events as server-sent events, and a comment each second."""

    def __init__(self, record):
        self.record, self.events, self.changed = record, [], asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def publish(self, endpoints, snapshot=False):
        offset = len(self.events) + 1
        topology = {"index": offset, "snapshot": snapshot, "endpoints": endpoints}
        self.events.append({"offset": offset, "topology": topology})
        for endpoint in endpoints:
            self.record("bus", "tells", offset=offset, name=endpoint["name"], status=endpoint["status"])
        self.changed.set()
        self.changed = asyncio.Event()

    def known(self):
        return {"offset": len(self.events), "batch": list(self.events)}

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            last = 0
            for line in head.split("\r\n"):
                if line.startswith("last-event-id:"):
                    last = int(line.split(":")[1])
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n: \n\n")
            while True:
                for event in self.events[last:]:
                    writer.write(b"id: %d\ndata: %s\n\n" % (event["offset"], json.dumps(event).encode()))
                last = max(last, len(self.events))
                await writer.drain()
                try:
                    await asyncio.wait_for(self.changed.wait(), 1)
                except asyncio.TimeoutError:
                    writer.write(b": \n\n")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Link:
    """A connection from a front node to a media server."""

    def __init__(self, sock, number):
        self.sock, self.number, self.buffer, self.open = sock, number, b"", True
        self.last_used = time.monotonic()


class MediaServer:
    """A media server without faults of its own. Times are in seconds."""

    numbers = iter(range(1, 255))

    def __init__(self, record, name, cell, answer_delay=0.06, session_duration=40.0, report_interval=None,
                 forget_idle_after=None):
        self.record, self.name, self.cell = record, name, cell
        self.answer_delay, self.session_duration = answer_delay, session_duration
        self.report_interval, self.forget_idle_after = report_interval, forget_idle_after
        self.host = "127.0.0.%d" % (10 + next(self.numbers))
        self.listener = socket.socket()
        self.listener.bind((self.host, 0))
        self.listener.listen(64)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.links, self.accepted, self.forgets_idle = [], 0, False
        self.pending = {}          # id -> link: set-ups that are not answered yet
        self.active = {}           # id -> {"link", "since", "timer"}: sessions that run here
        self.activated_at = {}     # id -> time at which the session began to run here
        self.ended = {}            # id -> (time, how): sessions that ran here and are over
        self.queued_releases = []  # releases that are also sent on the next connection that opens
        self.lost_answers = 0
        self.filler_addresses = set()
        self.is_partitioned, self.delayed_lines = False, []
        self.loses_answer = lambda: False  # whether the connection is reset in place of an answer; the session runs
        self.loop = asyncio.get_running_loop()
        self.loop.add_reader(self.listener, self.accept)
        if report_interval:
            self.reports = self.loop.create_task(self.send_link_reports())

    def entry(self, status="Ready", since_ms=0):
        return {"name": self.name, "address": f"{self.host}:{self.port}", "zone": "hall-a", "type": "small-2c",
                "group": self.cell, "status": status, "weight": 1.0, "since_ms": since_ms}

    # Connections.

    def accept(self):
        while True:
            try:
                sock, peer = self.listener.accept()
            except OSError:
                return
            if peer in self.filler_addresses:
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.accepted += 1
            link = Link(sock, self.accepted)
            self.links.append(link)
            self.record(self.name, "connected", link=link.number)
            if not self.is_partitioned:
                self.loop.add_reader(sock, self.readable, link)
            queued, self.queued_releases = self.queued_releases, []
            for line in queued:
                self.send(link, line)

    async def delay_connections(self, seconds):
        """New connections come up only after `seconds`: the listen queue is full until then, so the kernel drops their SYNs."""
        self.loop.remove_reader(self.listener)
        self.accept()
        self.listener.listen(0)
        fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            fillers.append(filler)
        self.filler_addresses = {filler.getsockname() for filler in fillers}
        self.record(self.name, "connections-delayed", seconds=seconds)
        await asyncio.sleep(seconds)
        self.listener.listen(64)
        self.accept()
        for filler in fillers:
            filler.close()
        self.loop.add_reader(self.listener, self.accept)
        self.record(self.name, "connections-come-up-again")

    async def partition(self, seconds):
        """A cut-off machine: open connections stay open and silent, new ones do not come up. Its sessions play on."""
        self.record(self.name, "cut-off", seconds=seconds)
        self.is_partitioned = True
        for link in self.links:
            self.loop.remove_reader(link.sock)
        await self.delay_connections(seconds)
        self.is_partitioned = False
        self.record(self.name, "there-again")
        for link in list(self.links):
            self.loop.add_reader(link.sock, self.readable, link)
        held, self.delayed_lines = self.delayed_lines, []
        for link, line in held:
            self.send_about(link, line)

    def drop(self, link, why, reset=False):
        if not link.open:
            return
        link.open = False
        self.links.remove(link)
        self.loop.remove_reader(link.sock)
        if reset:
            link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        link.sock.close()
        self.record(self.name, "link-closed", link=link.number, why=why)
        for call in [c for c, l in self.pending.items() if l is link]:
            del self.pending[call]
            self.record(self.name, "given-up", call=call, how="connection")

    def readable(self, link):
        if self.is_forgotten(link):
            # Whatever comes on a forgotten connection is answered with a reset and read by nobody.
            idle = time.monotonic() - link.last_used
            return self.drop(link, "forgotten-after-%.1f-s" % idle, reset=True)
        try:
            data = link.sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            return self.drop(link, "reset by the front node")
        if not data:
            return self.drop(link, "closed by the front node")
        link.last_used = time.monotonic()
        link.buffer += data
        while b"\n" in link.buffer and link.open:
            line, link.buffer = link.buffer.split(b"\n", 1)
            self.message(link, json.loads(line))

    def send(self, link, line):
        if self.is_partitioned:
            self.delayed_lines.append((link, line))  # arrives once the partition is over
            return True
        link.last_used = time.monotonic()
        try:
            link.sock.send(json.dumps(line).encode() + b"\n")
            shown = {k: v for k, v in line.items() if k in ("op", "call", "why")}
            self.record(self.name, "sends", link=link.number, **shown)
            return True
        except OSError:
            self.drop(link, "broken")
            return False

    def send_about(self, link, line):
        """Sends a line about a session on the connection of its set-up, or else on any open one."""
        for candidate in [link] + list(self.links):
            if candidate is not None and candidate.open and not self.is_forgotten(candidate) and self.send(candidate, line):
                return True
        return False

    def is_forgotten(self, link):
        """Whether this connection was idle for so long that the server knows nothing of it any more."""
        idle = time.monotonic() - link.last_used
        return self.forgets_idle and self.forget_idle_after is not None and idle >= self.forget_idle_after

    # Messages.

    def message(self, link, line):
        op, call = line["op"], line.get("call")
        self.record(self.name, "gets", link=link.number, op=op, call=call, why=line.get("why"))
        if op == "offer":
            self.pending[call] = link
            self.loop.call_later(self.answer_delay, self.answer, link, call)
        elif op == "end":
            if call in self.pending:
                del self.pending[call]
                self.record(self.name, "given-up", call=call, how="end")
            elif call in self.active:
                self.end_session(call, "released by the front node")
            self.send(link, {"op": "ended", "call": call, "with": {}})
        elif op == "test":
            load = {"load": "x0:0.2;x1:0.2"} if line.get("why") == 1 else {}
            self.send(link, {"op": "tested", "call": call, "with": load, "why": 1})

    def answer(self, link, call):
        if self.pending.get(call) is not link:
            return
        del self.pending[call]
        self.activate(call, link, self.session_duration)
        if self.loses_answer():
            self.lost_answers += 1
            self.record(self.name, "answer-lost", call=call)
            return self.drop(link, "reset-in-place-of-an-answer", reset=True)
        self.send(link, {"op": "accept", "call": call, "with": {}, "desc": f"{call}\r\nc=IN IP4 {self.host}\r\n"})

    def activate(self, call, link, duration):
        timer = self.loop.call_later(duration, self.session_completed, call)
        self.activated_at[call] = self.record.now()
        self.active[call] = {"link": link, "since": self.activated_at[call], "timer": timer}

    def end_session(self, call, how):
        play = self.active.pop(call)
        play["timer"].cancel()
        self.ended[call] = (self.record.now(), how)
        self.record(self.name, "over", call=call, how=how.replace(" ", "-"))
        return play

    def session_completed(self, call):
        """The session has come to its end. The release goes out now, and once more on the next connection that opens."""
        play = self.end_session(call, "came to its end")
        line = {"op": "end", "call": call, "with": {}, "why": 16}
        self.send_about(play["link"], line)
        self.queued_releases.append(line)

    async def send_link_reports(self):
        while True:
            await asyncio.sleep(self.report_interval)
            if self.active:
                call = next(iter(self.active))
                note = {"op": "info", "call": call, "with": {"note": "wire", "value": "0.3"}}
                self.send_about(self.active[call]["link"], note)

    def close(self):
        for link in list(self.links):
            self.drop(link, "case over")
        self.listener.close()


CLASS, LEFT, TITLE, FIGURES, PAUSE, CAUSE, DESCRIPTION = 1, 3, 9, 11, 13, 29, 31
KINDS = {9: "answer", 12: "release", 16: "release-heard", 51: "move", 53: "tested"}


def frame(kind, call, *parameters):
    body = bytes([kind]) + bytes.fromhex(call)
    for code, value in parameters:
        value = value if isinstance(value, bytes) else str(value).encode()
        body += struct.pack(">BH", code, len(value)) + value
    return struct.pack(">H", len(body)) + body


class Viewers:
    """The viewers' side, with the platform's distributor: a session belongs to no connection."""

    def __init__(self, record, class_name):
        self.record, self.class_name, self.calls, self.next_id = record, class_name, {}, 0
        self.waiting, self.connections = {}, []

    def new_call(self):
        self.next_id += 1
        call = "%016x" % (0x9B1F03AA00000000 + self.next_id * 0x10001)
        self.calls[call] = {"received": []}
        return call

    async def connect(self, address):
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        connection = {"writer": writer, "open": True}
        connection["listener"] = asyncio.get_running_loop().create_task(self.listen(reader, connection))
        self.connections.append(connection)  # a task without a reference may be collected
        return connection

    async def listen(self, reader, connection):
        try:
            while True:
                body = await reader.readexactly(struct.unpack(">H", await reader.readexactly(2))[0])
                kind, call, rest, parameters = KINDS.get(body[0], body[0]), body[1:9].hex(), body[9:], {}
                while rest:
                    code, length = struct.unpack(">BH", rest[:3])
                    parameters[code], rest = rest[3:3 + length], rest[3 + length:]
                cause = parameters[CAUSE][0] if CAUSE in parameters else None
                self.record("viewers", "get", kind=kind, call=call, cause=cause)
                if call in self.calls:
                    self.calls[call]["received"].append((self.record.now(), kind, cause, parameters))
                for future in self.waiting.pop(call, []):
                    if not future.done():
                        future.set_result((kind, cause))
        except (OSError, asyncio.IncompleteReadError):
            connection["open"] = False

    def set_up(self, connection, call, title=0x7F3A9C21E0B4D655, home=0, copies=1, left=4000, at=None, again=False, top=3):
        figures = f"home:{home};copies:{copies};top:{top};viewer:{call}"
        figures += ";again:1" if again else ""
        figures += f";at:{at}" if at else ""
        self.calls[call].update(sent=self.record.now(), left=left / 1000, at=at)
        self.record("viewers", "send", kind="set-up", call=call, figures=figures)
        self.write(connection, frame(1, call, (CLASS, self.class_name), (LEFT, left), (TITLE, "%016x" % title),
                                     (FIGURES, figures), (DESCRIPTION, f"{call}\r\nm=video 31000 RTP/AVP 96\r\n")))

    def release(self, connection, call, cause=16):
        self.record("viewers", "send", kind="release", call=call, cause=cause)
        self.calls[call]["released"] = self.record.now()
        self.write(connection, frame(12, call, (CAUSE, bytes([cause]))))

    def write(self, connection, message):
        """Writes a message, or keeps it until `flush` where the connection gathers messages."""
        if "gathered" in connection:
            connection["gathered"] += message
        else:
            connection["writer"].write(message)

    def flush(self, connection):
        connection["writer"].write(connection.pop("gathered"))

    async def next_message(self, call, seconds):
        future = asyncio.get_running_loop().create_future()
        self.waiting.setdefault(call, []).append(future)
        try:
            return await asyncio.wait_for(future, seconds)
        except asyncio.TimeoutError:
            return None

    async def test(self, address):
        """Whether the front node passes a test."""
        try:
            connection = await self.connect(address)
        except OSError:
            return False
        call = self.new_call()
        self.record("viewers", "send", kind="test", call=call)
        connection["writer"].write(frame(52, call, (CAUSE, b"\0")))
        answer = await self.next_message(call, 1)
        connection["writer"].close()
        return answer == ("tested", 1)

    def received(self, call, kind):
        return [message for message in self.calls[call]["received"] if message[1] == kind]


def settings(number, of, class_name="stall-video", **changes):
    """Settings of a small deployment with one class."""
    values = {
        "caps": {"cancel": True, "conn_idle_us": 30000000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000,
                 "dial_timeout_us": 250000, "max_attempts": 3, "max_open": 1000000, "max_retry_after_us": 500000,
                 "multiplex": 1048576, "peers": False, "probes": True, "retry_after": True, "second_copies": False},
        "classes": [{"aim_us": 800000, "deadline_us": 4000000, "effect": "repeatable", "group": "all",
                     "late_share": 0.0, "name": class_name, "points": 1.0, "stream": True, "window_us": 5000000}],
        "client_habits": {"marks_retry": False}, "counted_by": "request", "discovery": "push", "family": "streams",
        "family_info": {"all_links_kb": 120000.0, "change_costs_s": 0.6, "floor_by_class": [0], "guard": 1.2,
                        "is_live": [False], "join_adds": 1.0, "kind_streams": [40], "link_unit_kb": 9000.0,
                        "places": 12, "rack_link_kb": 60000.0, "rates_kb": [150.0, 400.0, 800.0, 1500.0],
                        "scale_by_class": [0.7], "seats": [0], "see_us": 800000, "shelves": 2, "stall_cost": 9.0,
                        "told_every_us": 4000000, "top_by_class": [3], "worth_by_rung": [0.2, 0.5, 0.75, 1.0]},
        "goal": {"whole": 0.7, "worst_class": 0.0, "worst_tenant": 0.0, "worst_window": 0.3},
        "group_size": of, "kinds": ["small-2c"], "locality": 0, "my_number": number, "over_share_worth": 0.1,
        "prices": {"cross_zone": 0.02, "late_fail": 0.06, "moves": 0.1, "probe": 0.01},
        "reporting": {"how": "piggyback", "names": ["utilization", "x1"]}, "round_us": 10000,
        "rules": {"cold_from": 0.4, "cold_us": 12000000, "fall_multiple": 2.5, "fall_us": 2000000,
                  "grace_to_answer_us": 40000, "stop_sending_within_us": 1000000},
        "tenants": [], "tier": 0, "tiers": ["video-servers"], "weights": "rough", "zones": ["hall-a", "hall-b"]}
    for key, value in changes.items():
        if isinstance(value, dict):
            values[key] = {**values[key], **value}
        else:
            values[key] = value
    return values


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def die_with_parent():
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Front:
    """A front node, started with `run` of the deploy file."""

    def __init__(self, record, folder, name, bus, values, sockets=256):
        self.record, self.folder, self.name, self.bus, self.values = record, folder, name, bus, values
        self.sockets, self.process, self.starts = sockets, None, 0
        self.address = "127.0.0.2:%d" % free_port("127.0.0.2")
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            self.command = tomllib.load(file)["run"]

    def start(self):
        self.starts += 1
        config = {"name": self.name, "listen": self.address, "seed": "8c1f30d27a5be%03x" % self.starts,
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
                  "bus": self.bus.address, "known": self.bus.known(), "settings": self.values}
        path = os.path.join(self.folder, f"{self.name}.json")
        with open(path, "w") as file:
            json.dump(config, file)
        environment = {**os.environ, "ROUTER_NAME": self.name, "ROUTER_LISTEN": self.address, "ROUTER_CONFIG": path,
                       "TMPDIR": self.folder}
        log = open(os.path.join(self.folder, f"{self.name}-{self.starts}.log"), "w")
        self.process = subprocess.Popen(["/bin/sh", "-c", self.command], cwd=ROOT, env=environment, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL, preexec_fn=die_with_parent)
        self.record(self.name, "started", pid=self.process.pid)

    async def ready(self, viewers, seconds=10):
        limit = time.monotonic() + seconds
        while time.monotonic() < limit:
            if self.process.poll() is not None:
                break
            if await viewers.test(self.address):
                return True
            await asyncio.sleep(0.05)
        return False

    def signal(self, number):
        self.record(self.name, "signal", number=int(number))
        self.process.send_signal(number)

    async def ended(self, seconds):
        limit = time.monotonic() + seconds
        while time.monotonic() < limit and self.process.poll() is None:
            await asyncio.sleep(0.01)
        self.record(self.name, "ended", code=self.process.poll())
        return self.process.poll() is not None

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class CannotRun(Exception):
    pass


def main(case):
    """Runs a case: `case(record, folder, trouble)` returns lines that tell how the rule was broken."""
    here = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(here)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("case", "starts", trouble=int(trouble))
    folder = tempfile.mkdtemp(prefix="beechloft-case-")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, folder, trouble), 112))
    except Exception as error:  # whatever went wrong, the case did not run
        record("case", "could-not-run", error=repr(error))
        print(f"could not run: {error!r}")
        return NOT_RUN
    finally:
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(folder, keep, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    for line in broken:
        record("case", "BROKEN", about=line.replace(" ", "-"))
        print("broken:", line)
    record("case", "ends", broken=len(broken))
    print("rule broken" if broken else "rule held", flush=True)
    return BROKEN if broken else HELD


def run(case):
    """Ends the process with the exit code of the case, without waiting for what asyncio still holds."""
    code = main(case)
    sys.stdout.flush()
    os._exit(code)
