"""Stand-ins of the platform's store, of servers and of clients, and gateway processes.

Only the standard library is used. Everything listens on loopback addresses and free ports.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parents[2]
IP = "127.0.0.1"
ZONE = "kgl-a"
HOST = "box.example"
KEY = "k1"
HEARTBEAT_S = 1.2
CONTACT_S = 3.0
DRAIN_S = 2.0
NEWEST_PAGE = 500
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "downgrade_slack_ms": 250, "outer_ms": 5000, "revoke_fail_closed": False, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_min_retries": 56,
    "cold_overshoot": 1.5, "cold_slack": 5, "evacuation_ms": 5000, "recovery_s": 12,
    "pass_ms": 120, "retry_after_s": 10, "cap_factor": 2,
}  # fmt: skip
"""Bounds of the site imigongo-seats."""


class CannotRun(Exception):
    """The case could not be played, for example since a process did not start."""


def trouble() -> bool:
    """Whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


_given_out: set[int] = set()
_lane: list[socket.socket] = []
"""Socket that holds the first port of this process's range, so that no other case uses the range."""
FIRST_PORT, LANES, LANE_PORTS = 15_000, 80, 200


def _first_port() -> int:
    if not _lane:
        for number in range(LANES):
            sock = socket.socket()
            try:
                sock.bind((IP, FIRST_PORT + (os.getpid() + number) % LANES * LANE_PORTS))
            except OSError:
                sock.close()
                continue
            _lane.append(sock)
            break
        else:
            raise CannotRun("no free range of ports")
    return int(_lane[0].getsockname()[1])


def free_port() -> int:
    """Return a port that is free on the loopback address, and the port after it too.

    They are below the usual range for outgoing connections, so that a server that is down keeps
    its port. Cases that run side by side have ranges of their own.
    """
    first_port = _first_port()
    for port in range(first_port + 2, first_port + LANE_PORTS, 2):
        if port in _given_out:
            continue
        with socket.socket() as first, socket.socket() as second:
            try:
                first.bind((IP, port))
                second.bind((IP, port + 1))
            except OSError:
                continue
        _given_out.update((port, port + 1))
        return port
    raise CannotRun("no free port")


class Record:
    """Lines of `record.txt`, each with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        print(f"{self.now():8.3f} {text}", file=self._file, flush=True)

    def verdict(self, broken: bool, text: str) -> int:
        self.write(f"{'BROKEN' if broken else 'HELD'}: {text}")
        print(f"{'BROKEN' if broken else 'HELD'}: {text}")
        return int(broken)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a start line and headers; names in lower case."""
    data = await reader.readuntil(b"\r\n\r\n")
    start, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return start, headers


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store as PROTOCOL.md describes it: logs of one partition a topic."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.reads: dict[int, int] = {}
        """Calls that read the servers' entries, by the port at which they came in."""
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> int:
        """Listen on one more port, so that the gateways can be told apart; return it."""
        port = free_port()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(port, reader, writer)

        self._servers.append(await asyncio.start_server(serve, IP, port))
        self.reads[port] = 0
        return port

    def close(self) -> None:
        for server in self._servers:
            server.close()
        for writer in self._writers:
            writer.transport.abort()

    def append(self, topic: str, key: str, value: bytes) -> int:
        """Append a record, which is the acknowledgement; return its offset."""
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    def put(self, topic: str, key: str, value: Any) -> int:
        return self.append(topic, key, b"" if value is None else json.dumps(value).encode())

    async def _serve(
        self, port: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                start, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, target, _ = start.split(" ")
                path, _, query = target.partition("?")
                status, kind, answer = await self._answer(
                    port, method, path, dict(parse_qsl(query)), body
                )
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n"
                    f"Content-Length: {len(answer)}\r\n\r\n".encode() + answer
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(
        self, port: int, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, str, bytes]:
        await asyncio.sleep(0.004)
        topic = query.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if topic == "keyed.servers":
            self.reads[port] += 1
        if (method, path) == ("GET", "/v1/log-newest"):
            return 200, "application/json", json.dumps(self._newest(records, query)).encode()
        if (method, path) == ("GET", "/v1/log-read"):
            return await self._read(records, query)
        if (method, path) == ("POST", "/v1/log-append"):
            if topic in ("keyed.op", "keyed.servers"):
                return 403, "application/json", b"{}"
            if "at" in query and int(query["at"]) != len(records):
                end = json.dumps({"end_offset": len(records)}).encode()
                return 412, "application/json", end
            offset = len(records)
            while body:
                (length,) = struct.unpack(">I", body[:4])
                data, body = body[4 : 4 + length], body[4 + length :]
                key = data[1 : 1 + data[0]].decode()
                self.append(topic, key, data[1 + data[0] :])
            end = json.dumps({"offset": offset, "end_offset": len(records)}).encode()
            return 200, "application/json", end
        return 404, "application/json", b"{}"

    def _newest(self, records: list[tuple[str, bytes]], query: dict[str, str]) -> dict[str, Any]:
        newest = {key: (value, offset) for offset, (key, value) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(newest.items())
            if value and key > query.get("after", "")
        ]
        return {
            "items": items[:NEWEST_PAGE],
            "has_more": len(items) > NEWEST_PAGE,
            "end_offset": len(records),
        }

    async def _read(
        self, records: list[tuple[str, bytes]], query: dict[str, str]
    ) -> tuple[int, str, bytes]:
        start = int(query["from"])
        if start > len(records):
            return 410, "application/json", b'{"first_offset":0}'
        deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while start >= len(records) and (left_s := deadline - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        data = b""
        for key, value in records[start:]:
            name = key.encode()
            entry = bytes([len(name)]) + name + value
            data += struct.pack(">I", len(entry)) + entry
            if len(data) > int(query.get("max_kb", "1024")) << 10:
                break
        return 200, "application/octet-stream", struct.pack(">QQ", len(records), 0) + data


class Arrival:
    """A request that a server has read whole."""

    def __init__(
        self, server: Server, start: str, headers: dict[str, str], body: bytes,
        writer: asyncio.StreamWriter, at: float,
    ) -> None:  # fmt: skip
        self.server = server
        self.start = start
        self.headers = headers
        self.body = body
        self.writer = writer
        self.at = at
        self.id = headers.get("x-request-id", "")

    def head(self, status: int, *lines: str, seal: bool = True) -> bytes:
        """Return the head of a response."""
        own = [f"HTTP/1.1 {status} X", f"X-Request-Id: {self.id}"]
        if seal:
            own.append("X-Response-Seal: 3e1b.07")
        own.append(f"X-Server-Load: {self.server.running},0,{self.server.slots}")
        return "\r\n".join([*own, *lines]).encode() + b"\r\n\r\n"

    async def send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    async def respond(self, status: int, body: bytes, *lines: str, seal: bool = True) -> None:
        length = f"Content-Length: {len(body)}"
        await self.send(self.head(status, length, *lines, seal=seal) + body)

    async def stream(self, events: int, pause_s: float) -> None:
        """Send an event stream in chunks."""
        head = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        await self.send(self.head(200, *head))
        for number in range(1, events + 1):
            event = b"id: %d\ndata: x%d\n\n" % (number, number)
            await self.send(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(pause_s)
        await self.send(b"0\r\n\r\n")


class Server:
    """A server of a service, which writes its entry to the store at each heartbeat."""

    def __init__(
        self, name: str, service: str, store: Store, record: Record, *, slots: int,
        run: Callable[[Arrival], Awaitable[None]],
    ) -> None:  # fmt: skip
        self.name = name
        self.service = service
        self.store = store
        self.record = record
        self.slots = slots
        self.run = run
        self.port = free_port()
        self.address = f"{IP}:{self.port}"
        self.state = "ready"
        self.sequence = 0
        self.born = 0
        self.running = 0
        self.arrivals: list[Arrival] = []
        self.crashes: list[float] = []
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[Any]] = set()

    def entry(self) -> dict[str, Any]:
        return {
            "service": self.service, "address": self.address, "zone": ZONE, "version": "v1",
            "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
            "sequence": self.sequence, "born": self.born,
        }  # fmt: skip

    async def start(self) -> None:
        """Start to listen and to write the entry."""
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self._server = await asyncio.start_server(self._serve, IP, self.port, backlog=200)
        self._beats = asyncio.create_task(self._beat())

    def stop(self) -> None:
        """End without a word, as in a crash: the port is closed and all connections are reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if self._beats is not None:
            self._beats.cancel()
        for writer in list(self._writers):
            reset(writer)

    def crash(self, down_s: float) -> None:
        """Crash, and start again after some seconds."""
        if self._server is None:
            return
        self.crashes.append(self.record.now())
        self.record.write(f"server {self.name} crashed")
        self.stop()
        self._spawn(self._return(down_s))

    async def _return(self, down_s: float) -> None:
        await asyncio.sleep(down_s)
        await self.start()
        self.record.write(f"server {self.name} is back")

    def beat(self) -> int:
        """Write the entry once; return its sequence."""
        self.sequence += 1
        self.store.put("keyed.servers", self.name, self.entry())
        return self.sequence

    async def _beat(self) -> None:
        while True:
            self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    def _spawn(self, work: Awaitable[Any]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        work: asyncio.Task[None] | None = None
        try:
            while True:
                start, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                arrival = Arrival(self, start, headers, body, writer, self.record.now())
                expected = headers.get("x-expect-instance", self.name)
                if expected != self.name:
                    await arrival.respond(421, b"", f"X-Instance-Id: {self.name}", seal=False)
                    continue
                self.arrivals.append(arrival)
                self.running += 1
                work = asyncio.create_task(self._work(arrival))
                # A closed connection ends the work on its request.
                gone = asyncio.create_task(reader.read(1))
                await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
                gone.cancel()
                await asyncio.gather(gone, return_exceptions=True)
                if not work.done():
                    work.cancel()
                    return
                work.result()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _work(self, arrival: Arrival) -> None:
        try:
            await self.run(arrival)
        finally:
            self.running -= 1


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, name: str, store_port: int, directory: Path, **changes: Any) -> None:
        self.name = name
        self.store_port = store_port
        self.front, self.ready, self.internal, self.metrics = (free_port() for _ in range(4))
        self.process: asyncio.subprocess.Process | None = None
        self.log = directory / f"{name}.log"
        self._settings = directory / f"{name}.json"
        settings = {
            "node_name": name, "role": "gateway", "machine_class": "front", "serves": ["front"],
            "ip": IP, "zone": ZONE, "region": "kigali", "zones": {ZONE: "kigali"},
            "listen": {"front": f"{IP}:{self.front}", "ready": f"{IP}:{self.ready}"},
            "internal_port_range": [self.internal, self.internal + 1],
            "limits": {"cpu_share": 0.817, "cores": 1, "memory_mb": 300, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "heartbeat_ms": 1200, "bounds": BOUNDS,
            "platform": {"address": f"{IP}:{store_port}", "form": "log", "writes_per_s": 400,
                         "reads_per_s": 2000, "keep_s": 300},
        }  # fmt: skip
        self._settings.write_text(json.dumps(settings | changes))

    async def start(self) -> None:
        """Start the process and wait until it says that it is ready."""
        python = os.environ.get("PYTHON", "python3")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"PYTHONPATH": "target/deps", "CORNELLEAD_NODE_FILE": str(self._settings)}
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                python, "-S", "-m", "cornellead.cli", "gateway", f"--metrics_port={self.metrics}",
                cwd=ROOT, env=env, stdout=log, stderr=log,
            )  # fmt: skip
        for _ in range(200):
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended: {self.log.read_text()[-500:]}")
            if await self.status() == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready: {self.log.read_text()[-500:]}")

    async def status(self) -> int:
        """Return the status of the readiness check, 0 without an answer."""
        answer = await call(self.ready, "GET", "/v1/ready", {}, timeout_s=1.0)
        return answer.status

    def signal(self, number: int) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Answer:
    """What a client got for one request."""

    def __init__(self) -> None:
        self.status = 0
        """0 if the connection ended without a complete head."""
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.error = ""
        self.sent_at = 0.0
        self.elapsed_s = 0.0


async def call(
    port: int, method: str, target: str, headers: dict[str, str], body: bytes = b"",
    *, timeout_s: float, source: str = IP,
) -> Answer:  # fmt: skip
    """Send one request on a new connection and read the answer."""
    answer = Answer()
    answer.sent_at = time.monotonic()
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(IP, port, local_addr=(source, 0))
            lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
            await writer.drain()
            start, answer.headers = await read_head(reader)
            answer.status = int(start.split(" ")[1])
            await _read_body(reader, answer)
            answer.complete = True
    except TimeoutError:
        answer.error = "no answer in time"
    except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
        answer.error = repr(exc)[:80]
    finally:
        answer.elapsed_s = time.monotonic() - answer.sent_at
        if writer is not None:
            writer.transport.abort()
    return answer


async def _read_body(reader: asyncio.StreamReader, answer: Answer) -> None:
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"-", 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return
            answer.body += data[:-2]
    answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))


LLM_ROUTE = {
    "name": "plan", "hostname": HOST, "path_prefix": "/plan/", "kind": "streaming",
    "timeout_ms": 15000, "target_latency_ms": 800, "priority": 1, "service": "llm",
    "max_attempts": 1, "public": False, "sticky_sessions": True, "stream_resume": False,
    "gap_target_ms": 500,
}  # fmt: skip
PAY_ROUTE = {
    "name": "pay", "hostname": HOST, "path_prefix": "/pay/", "kind": "unsafe", "timeout_ms": 800,
    "target_latency_ms": 150, "priority": 2, "service": "app", "max_attempts": 1, "public": False,
    "sticky_sessions": False, "stream_resume": False,
}  # fmt: skip
LOOKUP_ROUTE = PAY_ROUTE | {
    "name": "lookup", "path_prefix": "/lookup/", "kind": "safe", "max_attempts": 2,
}  # fmt: skip


def config(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration with one model service and one plain service."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "llm", "health_check_path": "/health", "max_connections": 370,
             "protocol": "h1", "tls": False, "cold_start_s": 3.0, "cold_per_s": 11.0,
             "engine": {"slots": 64, "kv_capacity_tokens": 528867, "kv_token_bytes": 163840,
                        "models": [{"name": "m"}]}},
            {"name": "app", "health_check_path": "/health", "max_connections": 110,
             "protocol": "h1", "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "schools", "api_keys": [KEY], "priority": 1}],
    }  # fmt: skip


def play(case: Callable[[Record, Path], Awaitable[int]], record_path: Path) -> int:
    """Run a case, which writes its record to a file; return 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = Record(record_path)
    record.write(f"disruption: {'yes' if trouble() else 'no'}")
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as directory:
            return asyncio.run(asyncio.wait_for(case(record, Path(directory)), 110))
    except (CannotRun, OSError, TimeoutError) as exc:
        record.write(f"COULD NOT RUN: {exc!r}")
        print(f"COULD NOT RUN: {exc!r}", file=sys.stderr)
        return 2
