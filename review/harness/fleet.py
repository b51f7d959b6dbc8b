"""Gateways as the deploy file starts them, with small stand-ins of the platform's store, model
servers and clients. Standard library only; all addresses are loopback addresses."""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2

BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "downgrade_slack_ms": 250, "outer_ms": 5000, "revoke_fail_closed": False, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_min_retries": 56,
    "cold_overshoot": 1.5, "cold_slack": 5, "evacuation_ms": 5000, "recovery_s": 12,
    "pass_ms": 120, "retry_after_s": 10, "cap_factor": 2,
}  # fmt: skip
"""Bounds of sites/imigongo-seats.toml."""

_used_ports = set()


def free_port():
    while True:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        if port not in _used_ports and port + 15 < 65536:
            _used_ports.add(port)
            return port


class Record:
    """Events of a run with their times, for the record.txt of a case."""

    def __init__(self, path):
        self._file = open(path, "w", buffering=1)
        self._started = time.monotonic()

    def add(self, text):
        line = f"{time.monotonic() - self._started:8.3f}  {text}"
        print(line, file=self._file)

    def close(self):
        self._file.close()


class Http:
    """One received HTTP/1.1 request and its connection."""

    def __init__(self, method, target, headers, body, reader, writer):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.reader, self.writer = reader, writer

    def reply(self, status, headers=(), body=b""):
        lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers)]
        lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def reset(self):
        sock = self.writer.get_extra_info("socket")
        if sock is not None and not self.writer.transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


async def serve_http(handle, port=0, writers=None):
    """Listen on a port; ``handle`` gets each request of each connection in turn."""

    async def on_connection(reader, writer):
        if writers is not None:
            writers.add(writer)
        try:
            while not writer.is_closing():
                head = await reader.readuntil(b"\r\n\r\n")
                first, *rest = head.decode("latin-1").split("\r\n")
                method, target, _ = first.split(" ", 2)
                headers = {}
                for line in rest:
                    name, _, value = line.partition(":")
                    if name:
                        headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                await handle(Http(method, target, headers, body, reader, writer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            if writers is not None:
                writers.discard(writer)

    return await asyncio.start_server(on_connection, "127.0.0.1", port)


class Store:
    """The platform's store: a log with topics that keep the newest record of each key."""

    def __init__(self):
        self.logs = {}
        self.silent = False
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self):
        self._server = await serve_http(self._handle)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    def put(self, topic, key, value):
        """Append a record; ``None`` drops the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self._append(topic, key, data)

    def _append(self, topic, key, data):
        self.logs.setdefault(topic, []).append((key, data))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, req):
        path, _, query = req.target.partition("?")
        params = dict(parse_qsl(query))
        topic = params.get("topic", "")
        log = self.logs.setdefault(topic, [])
        if self.silent:
            await asyncio.sleep(3600)
        await asyncio.sleep(0.004)
        if path == "/v1/log-newest":
            newest = {key: (data, offset) for offset, (key, data) in enumerate(log)}
            keys = sorted(k for k, (data, _) in newest.items() if data)
            keys = [k for k in keys if k > params.get("after", "")]
            items = [
                {"key": k, "value": base64.b64encode(newest[k][0]).decode(), "offset": newest[k][1]}
                for k in keys[:500]
            ]
            body = {"items": items, "has_more": len(keys) > 500, "end_offset": len(log)}
            req.reply(200, [("Content-Type", "application/json")], json.dumps(body).encode())
        elif path == "/v1/log-read":
            start = int(params["from"])
            if start > len(log):
                req.reply(410, [], b'{"first_offset":0}')
                return
            until = time.monotonic() + int(params.get("wait_ms", "0")) / 1000
            while start >= len(log) and (left := until - time.monotonic()) > 0:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    break
            data = b""
            for key, value in log[start:]:
                name = key.encode()
                record = bytes([len(name)]) + name + value
                if data and len(data) + len(record) > int(params.get("max_kb", "1024")) << 10:
                    break
                data += struct.pack(">I", len(record)) + record
            req.reply(200, [], struct.pack(">QQ", len(log), 0) + data)
        elif path == "/v1/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                req.reply(403)
                return
            first, data = len(log), req.body
            while data:
                (length,) = struct.unpack_from(">I", data)
                record, data = data[4 : 4 + length], data[4 + length :]
                name = record[1 : 1 + record[0]].decode()
                self._append(topic, name, record[1 + record[0] :])
            body = {"offset": first, "end_offset": len(self.logs[topic])}
            req.reply(200, [("Content-Type", "application/json")], json.dumps(body).encode())
        else:
            req.reply(404)


class Server:
    """A server of a service; a subclass or ``script`` answers the requests."""

    def __init__(self, store, record, *, name, service, zone="kgl-a", slots=64, script=None):
        self.store, self.record = store, record
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.script = script
        self.state = "ready"
        self.connected = True
        """Whether its heartbeats reach the store."""
        self.lose_next, self.lost = False, None
        self.beaten = asyncio.Event()
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.requests = []
        self.open_requests = []
        self.writers = set()
        self.address = ""
        self._beats = None

    async def start(self):
        # A server that starts again keeps its address.
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await serve_http(self._handle, port, self.writers)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]
        self.beat()
        self._beats = asyncio.create_task(self._run_beats())

    def entry(self):
        return {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": self.sequence,
            "born": self.born,
        }  # fmt: skip

    def beat(self):
        self.sequence += 1
        self.beaten.set()
        self.beaten = asyncio.Event()
        if self.lose_next:
            # The store has the call, answers nothing, and executes it later.
            self.lose_next, self.lost = False, self.entry()
        elif self.connected:
            self.store.put("keyed.servers", self.name, self.entry())

    async def _run_beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.beat()

    def leave(self):
        """Leave without reporting `draining`: the entry is removed, and the server serves on."""
        self.state = "leaving"
        self._beats.cancel()
        self.store.put("keyed.servers", self.name, None)

    def end(self):
        """End as a crashed process does: its host ends the open connections and refuses others."""
        self._beats.cancel()
        self._server.close()
        for writer in list(self.writers):
            writer.close()

    async def restart(self, after_s):
        """Start again under the same id, as a new incarnation."""
        await asyncio.sleep(after_s)
        self.sequence, self.born = 0, int(time.time() * 1000)
        await self.start()

    def exit(self):
        """End as a process does: open connections are reset."""
        self._beats.cancel()
        self._server.close()
        for req in self.open_requests:
            req.reset()

    async def _handle(self, req):
        expected = req.headers.get("x-expect-instance")
        request_id = req.headers.get("x-request-id", "")
        if expected != self.name:
            req.reply(421, [("X-Request-Id", request_id), ("X-Instance-Id", self.name)])
            return
        self.requests.append((time.monotonic(), request_id))
        self.record.add(
            f"server {self.name}: request {request_id} arrives,"
            f" last-event-id {req.headers.get('last-event-id', '-')}"
        )
        self.open_requests.append(req)
        try:
            await self.script(self, req)
        finally:
            self.open_requests.remove(req)


def own_headers(req, *more):
    return [("X-Request-Id", req.headers["x-request-id"]), ("X-Response-Seal", "seal"), *more]


def event(number, text="x"):
    return b"id: %d\ndata: %s%d\n\n" % (number, text.encode(), number)


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def stream_head(req):
    lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in own_headers(req))]
    lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class Gateway:
    """One gateway process, started with the command of deploy/system.toml."""

    def __init__(self, folder, store, *, name="front-1", zone="kgl-a"):
        self.name, self.zone = name, zone
        self._folder = Path(folder)
        self._path = self._folder / f"{name}.json"
        self._log_path = self._folder / f"{name}.log"
        self.front, self.ready = free_port(), free_port()
        self.metrics, self.internal = free_port(), free_port()
        self.settings = {
            "node_name": name, "role": "gateway", "machine_class": "front", "serves": ["front"],
            "ip": "127.0.0.1", "zone": zone, "region": "kigali",
            "zones": {"kgl-a": "kigali", "kgl-b": "kigali", "kgl-c": "kigali"},
            "listen": {"front": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready}"},
            "internal_port_range": [self.internal, self.internal + 15], "seeds": [],
            "bootstrap": True, "heartbeat_ms": 1200, "data_dir": None,
            "limits": {"cpu_share": 0.817, "cores": 1, "memory_mb": 300, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "bounds": BOUNDS,
            "platform": {"address": store.address, "form": "log", "writes_per_s": 400,
                         "reads_per_s": 2000, "parts": 12, "append_ms": 2.0, "ingress_per_s": 20.0,
                         "egress_per_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152,
                         "keep_s": 300, "part_mb": 200, "ttl_min_ms": 1000},
        }  # fmt: skip
        self.process = None

    def start(self):
        self._path.write_text(json.dumps(self.settings))
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        words = re.search(r'^run = "(.*)"$', deploy, re.MULTILINE).group(1).split()
        words = [
            f"--metrics_port={self.metrics}" if w.startswith("--metrics") else w for w in words
        ]
        env = {"PYTHONPATH": str(ROOT / "target" / "deps"), "CORNELLEAD_NODE_FILE": str(self._path)}
        env |= {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with open(self._log_path, "ab") as log:
            self.process = subprocess.Popen(words, cwd=ROOT, env=env, stdout=log, stderr=log)

    async def wait_ready(self, timeout_s=20.0):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            try:
                answer = await get(self.ready, "/v1/ready")
                if answer == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    def signal(self, signum):
        self.process.send_signal(signum)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def log_lines(self, *events):
        for line in self._log_path.read_text().splitlines():
            if any(f'"{event}"' in line for event in events):
                yield line


class CannotRun(Exception):
    pass


async def get(port, path):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 2)
        return int(line.split()[1]) if line else 0
    finally:
        writer.close()


class Answer:
    """What a client got: status 0 if the connection ended before a head."""

    def __init__(self):
        self.status, self.headers, self.body, self.complete = 0, {}, b"", False
        self.pieces = []
        self.ended_at = 0.0

    def __str__(self):
        retry = self.headers.get("retry-after")
        text = f"status {self.status}, {'complete' if self.complete else 'not complete'}"
        return text + (f", Retry-After {retry}" if retry else "")


class Client:
    """A client with one connection."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)

    def send(self, method, path, request_id, *, deadline_ms, headers=(), body=b""):
        lines = [
            f"{method} {path} HTTP/1.1", "Host: ficu95.example", f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}", "X-Api-Key: key1", *headers,
        ]  # fmt: skip
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def receive(self, on_data=lambda data: None):
        answer = Answer()
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
            first, *rest = head.decode("latin-1").split("\r\n")
            answer.status = int(first.split()[1])
            for line in rest:
                name, _, value = line.partition(":")
                if name:
                    answer.headers[name.lower()] = value.strip()
            if answer.headers.get("transfer-encoding") == "chunked":
                while size := int(await self.reader.readline(), 16):
                    data = (await self.reader.readexactly(size + 2))[:-2]
                    answer.body += data
                    on_data(data)
                await self.reader.readline()
            else:
                length = int(answer.headers.get("content-length", "0"))
                answer.body = await self.reader.readexactly(length)
            answer.complete = True
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        answer.ended_at = time.monotonic()
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()


def config(version, routes, services, keys=("key1",)):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "hule930", "api_keys": list(keys), "priority": 1}],
    }  # fmt: skip


def chat_route(service="llm", prefix="/chat/"):
    """The route of family-chat: a stream that may be resumed."""
    return {
        "name": "r-chat", "hostname": "ficu95.example", "path_prefix": prefix, "kind": "streaming",
        "timeout_ms": 12000, "target_latency_ms": 500, "priority": 0, "service": service,
        "max_attempts": 2, "public": False, "sticky_sessions": True, "stream_resume": True,
        "gap_target_ms": 500,
    }  # fmt: skip


def hold_route(service="office", prefix="/hold/"):
    """The route of seat-hold: unsafe requests."""
    return {
        "name": "r-hold", "hostname": "ficu95.example", "path_prefix": prefix, "kind": "unsafe",
        "timeout_ms": 800, "target_latency_ms": 150, "priority": 2, "service": service,
        "max_attempts": 1, "public": False,
    }  # fmt: skip


def model_service(name="llm"):
    return {
        "name": name, "health_check_path": "/health", "max_connections": 370, "protocol": "h1",
        "tls": False, "cold_start_s": 3.0, "cold_per_s": 11.0,
        "engine": {"slots": 64, "kv_capacity_tokens": 528867, "kv_token_bytes": 163840,
                   "link_mbps": 180000.0, "stride": 6, "most": 2, "models": [{"name": "m"}]},
    }  # fmt: skip


def app_service(name="office"):
    return {
        "name": name, "health_check_path": "/health", "max_connections": 110, "protocol": "h1",
        "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0,
    }  # fmt: skip


LOGGED = ("request", "attempt given up", "server ended")


def run_case(record_path, case, *, limit_s=110, events=LOGGED):
    """Run a case in a temporary folder; exit with 1 if the rule was broken, 0 if it held, and 2 if
    the case could not run. ``case`` returns the text of the break, or an empty text.

    :param record_path: File for what was sent, answered and run.
    :param events: Log lines of the gateways to keep, by event.
    """
    # A case that is ended early ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(record_path)
    record.add(f"TROUBLE={int(TROUBLE)}")
    scratch = tempfile.mkdtemp()
    gateways = []
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, scratch, gateways), limit_s))
        record.add(f"RULE BROKEN: {broken}" if broken else "the rule held")
        code = 1 if broken else 0
    except Exception as exc:
        record.add(f"the case could not run: {exc!r}")
        code = 2
    finally:
        for gateway in gateways:
            gateway.stop()
            for line in gateway.log_lines(*events):
                record.add(f"log of {gateway.name}: {line}")
        shutil.rmtree(scratch, ignore_errors=True)
        record.close()
    sys.exit(code)
