"""Stand-ins for the scripts of this review: the platform's store, a model or application server,
a client, and a link that can be cut. Standard library only; loopback addresses only."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"


def free_port() -> int:
    """Return a free port below those that the kernel gives to outgoing connections, which could
    take it before its user listens."""
    while True:
        port = random.randrange(11000, 31000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Record:
    """Writes what was sent, answered and run to a file, with seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self.started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def add(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, sep, value = line.partition(":")
        if sep:
            headers[name.strip().lower()] = value.strip()
    return first, headers


class Store:
    """The platform's store: keyed topics with one partition, as PROTOCOL.md describes them."""

    def __init__(self) -> None:
        self.port = free_port()
        self._logs: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.server_reads: list[tuple[float, int]] = []
        """Time and caller's port of each read of the list of servers."""

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def put(self, topic: str, key: str, value: object | None) -> float:
        """Append a record; returns the moment of the acknowledgement (monotonic seconds)."""
        data = b"" if value is None else json.dumps(value).encode()
        self._logs.setdefault(topic, []).append((key, data))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return time.monotonic()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, target, _ = first.split(" ")
                path, _, query = target.partition("?")
                params = dict(urllib.parse.parse_qsl(query))
                status, kind, answer = await self._call(method, path, params, body)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n"
                    f"Content-Length: {len(answer)}\r\n\r\n".encode()
                    + answer
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _call(
        self, method: str, path: str, params: dict[str, str], body: bytes
    ) -> tuple[int, str, bytes]:
        log = self._logs.setdefault(params.get("topic", ""), [])
        if path == "/v1/log-newest":
            newest: dict[str, tuple[int, bytes]] = {}
            for offset, (key, value) in enumerate(log):
                newest[key] = (offset, value)
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in sorted(newest.items())
                if value and key > params.get("after", "")
            ]
            page = {"items": items[:500], "has_more": len(items) > 500, "end_offset": len(log)}
            return 200, "application/json", json.dumps(page).encode()
        if path == "/v1/log-read":
            start = int(params["from"])
            if start > len(log):
                return 410, "application/json", b'{"first_offset":0}'
            give_up_at = time.monotonic() + int(params.get("wait_ms", "0")) / 1000
            while start >= len(log) and (left := give_up_at - time.monotonic()) > 0:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    break
            data = b""
            for key, value in log[start:]:
                name = key.encode()
                record = bytes([len(name)]) + name + value
                data += struct.pack(">I", len(record)) + record
            return 200, "application/octet-stream", struct.pack(">QQ", len(log), 0) + data
        if path == "/v1/log-append" and method == "POST":
            if "at" in params and int(params["at"]) != len(log):
                answer = json.dumps({"end_offset": len(log)}).encode()
                return 412, "application/json", answer
            first, position = len(log), 0
            while position + 4 <= len(body):
                (length,) = struct.unpack_from(">I", body, position)
                record = body[position + 4 : position + 4 + length]
                position += 4 + length
                size = record[0]
                self.put(params["topic"], record[1 : 1 + size].decode(), None)
                self._logs[params["topic"]][-1] = (
                    record[1 : 1 + size].decode(),
                    record[1 + size :],
                )
            answer = json.dumps({"offset": first, "end_offset": len(log)}).encode()
            return 200, "application/json", answer
        return 404, "application/json", b"{}"


def config(version: int, routes: list[dict], services: list[dict]) -> dict:
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": ["n2ctnfzs989anu6wsjnb"], "priority": 1}],
    }


KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"


def route(path: str, kind: str, service: str, **changes: object) -> dict:
    row = {
        "name": "r-" + path.strip("/"),
        "hostname": HOST,
        "path_prefix": path,
        "kind": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 200,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "public": False,
        "sticky_sessions": False,
        "stream_resume": False,
    }
    return row | changes


def app_service(name: str) -> dict:
    return {
        "name": name,
        "health_check_path": "/health",
        "max_connections": 110,
        "protocol": "h1",
        "tls": False,
        "cold_start_s": 0.0,
        "cold_per_s": 0.0,
    }


def llm_service(name: str) -> dict:
    return app_service(name) | {
        "max_connections": 370,
        "engine": {
            "slots": 64,
            "kv_capacity_tokens": 528867,
            "kv_token_bytes": 163840,
            "link_mbps": 180000.0,
            "models": [{"name": "m"}],
        },
    }


class Entry:
    """The entry of one start of a server in the store, renewed every 1.2 s."""

    def __init__(
        self, store: Store, *, server: str, service: str, address: str, slots: int, zone: str
    ) -> None:
        self._store = store
        self.server = server
        self._fields = {
            "service": service,
            "address": address,
            "zone": zone,
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 0,
            "born": int(time.time() * 1000),
        }
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        self._task = asyncio.create_task(self._beat())

    def write(self, **changes: object) -> float:
        self._fields |= changes
        self._fields["sequence"] += 1
        return self._store.put("keyed.servers", self.server, self._fields)

    def stop_beating(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def skip_write(self) -> dict:
        """Return what the next write would have been: a call whose answer is lost, and which the
        store executes later."""
        self._fields["sequence"] += 1
        return dict(self._fields)

    def remove(self) -> float:
        self.stop_beating()
        return self._store.put("keyed.servers", self.server, None)

    async def _beat(self) -> None:
        while True:
            self.write()
            await asyncio.sleep(1.2)


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(
        self, *, name: str, store_address: str, folder: str, link_mbps: float = 1000.0
    ) -> None:
        self.name = name
        self.front, self.ready = free_port(), free_port()
        self._metrics, internal = free_port(), free_port()
        words = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]["run"]
        self._command = [
            f"--metrics_port={self._metrics}" if word.startswith("--metrics_port") else word
            for word in words.split(" ")
        ]
        self._settings = pathlib.Path(folder) / f"{name}.json"
        settings = {
            "node_name": name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front"],
            "ip": "127.0.0.1",
            "zone": "kigali-a",
            "region": "kigali",
            "zones": {"kigali-a": "kigali", "kigali-b": "kigali", "kigali-c": "kigali"},
            "listen": {"front": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready}"},
            "internal_port_range": [internal, internal + 15],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "memory_mb": 300, "max_fds": 4100, "link_mbps": link_mbps, "disk_mb": 0
            },
            "data_dir": None,
            "heartbeat_ms": 1200,
            "bounds": {
                "contact_ms": 3000,
                "drain_ms": 2000,
                "grace_s": 8,
                "loss_slack_ms": 200,
                "config_apply_ms": 2000,
                "retry_budget_ratio": 0.2,
                "budget_window_s": 10,
                "budget_min_retries": 56,
                "cold_overshoot": 1.5,
                "cold_slack": 5,
                "evacuation_ms": 5000,
                "recovery_s": 12,
                "cap_factor": 2,
            },
            "platform": {
                "address": store_address,
                "form": "log",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "record_bytes": 262144,
                "call_bytes": 2097152,
            },
        }
        self._settings.write_text(json.dumps(settings))
        self._log = open(pathlib.Path(folder) / f"{name}.log", "wb")
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env |= {"PYTHONPATH": "target/deps", "CORNELLEAD_NODE_FILE": str(self._settings)}
        self.process = subprocess.Popen(
            self._command, cwd=ROOT, env=env, stdout=self._log, stderr=self._log
        )

    async def wait_ready(self, timeout_s: float = 15.0) -> bool:
        give_up_at = time.monotonic() + timeout_s
        while time.monotonic() < give_up_at:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head is not None and " 200 " in head[0]:
                    return True
            except OSError:
                pass
            if self.process is not None and self.process.poll() is not None:
                return False
            await asyncio.sleep(0.1)
        return False

    def send_signal(self, signum: signal.Signals) -> None:
        if self.process is not None:
            self.process.send_signal(signum)

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()
        self._log.close()

    def log_lines(self, *events: str) -> list[str]:
        text = self.log_path.read_text(errors="replace")
        return [line for line in text.splitlines() if any(f'"{e}"' in line for e in events)]


class Answer:
    """What a client got: status, headers, body, and whether the answer ended as complete."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.error = ""


class ServerProcess:
    """``server.py`` as a process that can be killed; its lines are recorded."""

    def __init__(
        self, record: Record, *, server: str, port: int, events: int, gap_s: float
    ) -> None:
        self.server = server
        self.port = port
        self._record = record
        self._words = [str(port), server, str(events), str(gap_s)]
        self.running: set[str] = set()
        """Requests that run."""
        self.ran: set[str] = set()
        self.ended: set[str] = set()
        """Requests that the server has answered as a whole."""
        self._process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task | None = None
        self.listening = asyncio.Event()

    async def start(self) -> None:
        program = pathlib.Path(__file__).resolve().parent / "server.py"
        self._process = await asyncio.create_subprocess_exec(
            "python3", "-S", str(program), *self._words, stdout=asyncio.subprocess.PIPE
        )
        self._reader = asyncio.create_task(self._read())
        await asyncio.wait_for(self.listening.wait(), 5.0)

    async def kill(self) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        if self._reader is not None:
            await self._reader

    async def _read(self) -> None:
        assert self._process is not None and self._process.stdout is not None
        async for line in self._process.stdout:
            fields = json.loads(line)
            if "listens" in fields:
                self.listening.set()
                self._record.add(f"server {self.server} listens on port {fields['listens']}")
            elif "runs" in fields:
                self.running.add(fields["runs"])
                self.ran.add(fields["runs"])
                self._record.add(f"{fields['runs']} runs at {self.server}")
            else:
                self.running.discard(fields["ends"])
                self.ended.add(fields["ends"])
                self._record.add(f"{fields['ends']} ends at {self.server}: {fields['what']}")


async def send_request(
    port: int,
    method: str,
    path: str,
    request_id: str,
    *,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
    record: Record,
) -> Answer:
    """Send one request on a new connection, read its answer, and record both."""
    record.add(f"{request_id} sent: {method} {path}")
    answer = await _exchange(port, method, path, request_id, body, headers or {}, timeout_s)
    end = "whole" if answer.complete else answer.error
    record.add(f"{request_id} answered: {answer.status}, {len(answer.body)} bytes, {end}")
    return answer


async def _exchange(
    port: int,
    method: str,
    path: str,
    request_id: str,
    body: bytes,
    headers: dict[str, str],
    timeout_s: float,
) -> Answer:
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            lines = [
                f"{method} {path} HTTP/1.1",
                f"Host: {HOST}",
                f"X-Request-Id: {request_id}",
                f"X-Api-Key: {KEY}",
            ]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = await read_head(reader)
            if head is None:
                answer.error = "closed without an answer"
                return answer
            answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
            if answer.headers.get("transfer-encoding") == "chunked":
                while True:
                    size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                    answer.body += await reader.readexactly(size)
                    await reader.readexactly(2)
                    if size == 0:
                        break
            else:
                length = int(answer.headers.get("content-length", "0"))
                answer.body = await reader.readexactly(length)
            answer.complete = True
    except asyncio.IncompleteReadError as exc:
        answer.body += exc.partial
        answer.error = "cut in the answer"
    except TimeoutError:
        answer.error = "no end within the client's time"
    except OSError as exc:
        answer.error = f"connection: {exc!r}"
    finally:
        if writer is not None:
            writer.close()
    return answer


class Link:
    """A proxy in front of one address. While it is cut, nothing passes in either direction; what
    was sent meanwhile on open connections, also their end, arrives after the cut, as TCP resends
    it. A connection that was opened during the cut is made when TCP sends its SYN again (1, 3 and
    7 s after the first one) and the link is whole by then."""

    def __init__(self, target_port: int) -> None:
        self.port = free_port()
        self._target_port = target_port
        self._whole = asyncio.Event()
        self._whole.set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)

    def cut(self) -> None:
        self._whole.clear()

    def heal(self) -> None:
        self._whole.set()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        pause_s = 1.0
        while not self._whole.is_set():
            await asyncio.sleep(pause_s)
            pause_s *= 2
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self._target_port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self._pass(reader, up_writer), self._pass(up_reader, writer))

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                data = await reader.read(65536)
                await self._whole.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, OSError):
            await self._whole.wait()
            writer.transport.abort()


def run_case(main, record_path: pathlib.Path) -> None:
    """Run a case within 110 s and exit with its code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        record = Record(record_path)
    except OSError as exc:
        print(f"could not run: {exc}", flush=True)
        os._exit(2)
    record.add(f"TROUBLE={'1' if trouble else '0'}")

    async def bounded(scratch: str) -> int:
        # Connections that are still open at the end are cancelled with the loop.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        try:
            async with asyncio.timeout(110):
                return await main(record, scratch, trouble)
        except TimeoutError:
            record.add("the case took too long")
            return 2

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    with tempfile.TemporaryDirectory() as scratch:
        try:
            code = loop.run_until_complete(bounded(scratch))
        except Exception as exc:
            record.add(f"the case could not run: {exc!r}")
            code = 2
    record.add({0: "RULE HELD", 1: "RULE BROKEN"}.get(code, "COULD NOT RUN"))
    print({0: "rule held", 1: "rule broken"}.get(code, "could not run"), flush=True)
    # All processes have ended; connections that are still open need no orderly end.
    os._exit(code)
