"""Stand-ins of the users' platform for the cases of review 3: the metadata store, servers and clients.

They speak what the platform's protocol page says, on loopback addresses, and use the standard library only.
"""
import asyncio
import base64
import bisect
import json
import os
import random
import signal
import sys
import time
import traceback

HEADER = "X-Dogwoodweir-"


def free_ports(count, ip="127.0.0.1"):
    """Return free TCP ports of an address."""
    import socket
    sockets, ports = [], []
    for _ in range(count):
        s = socket.socket()
        s.bind((ip, 0))
        sockets.append(s)
        ports.append(s.getsockname()[1])
    for s in sockets:
        s.close()
    return ports


class Record:
    """The record of a run: lines with the seconds since its start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def line(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.began, text))
        self.file.flush()


class Message:
    """An HTTP request or response."""

    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader, message):
    if message.get("transfer-encoding").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip().split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                break
            parts.append(part[:-2])
        message.body = b"".join(parts)
    else:
        message.body = await reader.readexactly(int(message.get("content-length", "0") or 0))
    return message


def response(status, body=b"", headers=(), reason="status"):
    lines = ["HTTP/1.1 %d %s" % (status, reason), "Content-Length: %d" % len(body)]
    lines += ["%s: %s" % h for h in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve(handler, ip, port):
    """Serve connections. The handler gets a request whose body is read, and the streams."""

    async def connection(reader, writer):
        try:
            while True:
                request = await read_body(reader, await read_head(reader))
                if await handler(request, reader, writer) is False:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, ip, port, limit=1 << 20, backlog=512)


class Store:
    """The platform's store with tables. Responses take `latency` seconds."""

    def __init__(self, latency=0.004, tx=0.003):
        self.latency, self.tx = latency, tx
        self.version = 1
        self.tables = {}  # table -> part -> {key: (version, value)}
        self.log = {}  # table -> [(version, row)]
        self.changed = asyncio.Condition()
        self.bytes = 0
        # While silent is set, calls are not performed and nothing is answered. silence_at is a table: the store falls
        # silent as it performs the first transaction that writes to it.
        self.silent, self.silence_at, self.unanswered = False, None, 0
        self.calls = 0

    def part(self, table, part):
        return self.tables.setdefault(table, {}).setdefault(part, {})

    def row(self, table, part, key, entry):
        return {"table": table, "part": part, "key": key, "value": base64.b64encode(entry[1]).decode(), "row_ver": entry[0]}

    async def apply(self, writes, deletes):
        self.version += 1
        for table, part, key, value in writes:
            rows = self.part(table, part)
            rows[key] = (self.version, value)
            self.log.setdefault(table, []).append((self.version, self.row(table, part, key, rows[key])))
        for table, part, key in deletes:
            rows = self.part(table, part)
            if rows.pop(key, None) is not None:
                self.log.setdefault(table, []).append(
                    (self.version, {"table": table, "part": part, "key": key, "row_ver": self.version, "deleted": True}))
        async with self.changed:
            self.changed.notify_all()
        return self.version

    async def put(self, table, key, value):
        """Write a row as the operator or a server does."""
        return await self.apply([(table, "", key, json.dumps(value).encode())], [])

    async def remove(self, table, key):
        return await self.apply([], [(table, "", key)])

    def answer(self, body, status=200):
        body.setdefault("row_ver", self.version)
        body["now_ms"] = int(time.monotonic() * 1000)
        return response(status, json.dumps(body).encode(), [("Content-Type", "application/json")])

    async def handle(self, request, reader, writer):
        method, target, _ = request.first.split(" ")
        path, _, query = target.partition("?")
        from urllib.parse import parse_qs
        q = {k: v[0] for k, v in parse_qs(query, keep_blank_values=True).items()}
        self.calls += 1
        if self.silent:
            return await self.keep_silent(reader)
        if path.endswith("/rows-tx"):
            await asyncio.sleep(self.tx + self.latency / 4)
            out = await self.transaction(json.loads(request.body))
        elif path.endswith("/rows-get"):
            await asyncio.sleep(self.latency / 2)
            out = self.get(q)
        elif path.endswith("/rows-feed"):
            out = await self.feed(q)
        else:
            out = response(404)
        if self.silent:
            return await self.keep_silent(reader)
        writer.write(out)
        await writer.drain()
        return True

    async def keep_silent(self, reader):
        """Leave a call without an answer until its caller closes the channel, which delivers nothing further."""
        while await reader.read(65536):
            pass
        return False

    async def transaction(self, body):
        current = []
        held = True
        for e in body.get("expected") or []:
            entry = self.part(e["table"], e["part"]).get(e["key"])
            if entry:
                current.append(self.row(e["table"], e["part"], e["key"], entry))
            held = held and (entry[0] if entry else 0) == e["row_ver"]
        if not held:
            return self.answer({"rows": current}, 412)
        writes = [(w["table"], w["part"], w["key"], base64.b64decode(w["value"])) for w in body.get("writes") or []]
        deletes = [(d["table"], d["part"], d["key"]) for d in body.get("deletes") or []]
        if len(writes) + len(deletes) + len(body.get("expected") or []) > 100:
            return response(400)
        version = await self.apply(writes, deletes)
        if self.silence_at and any(w[0] == self.silence_at for w in writes):
            self.silent, self.silence_at = True, None
        if self.silent:
            self.unanswered += 1
        return self.answer({"row_ver": version})

    def get(self, q):
        rows = self.part(q["table"], q.get("part", ""))
        limit = min(int(q.get("limit", 500)), 500)
        keys = sorted(rows)
        first = bisect.bisect_left(keys, q.get("from", ""))
        found, size, more = [], 0, False
        for key in keys[first:]:
            if q.get("to") and key >= q["to"]:
                break
            if len(found) == limit or size > 1_000_000:
                more = True
                break
            found.append(self.row(q["table"], q.get("part", ""), key, rows[key]))
            size += len(rows[key][1])
        return self.answer({"rows": found, "has_more": more})

    async def feed(self, q):
        after, table = int(q["after"]), q["table"]
        end = time.monotonic() + int(q.get("wait_ms", 0)) / 1000
        while True:
            log = self.log.get(table, [])
            rows = []
            for version, row in reversed(log):
                if version <= after:
                    break
                rows.append(row)
            left = end - time.monotonic()
            if rows or left <= 0:
                return self.answer({"rows": rows[::-1]})
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Server:
    """A server (runner) of a service. Subclasses or `work` decide what a request gets."""

    def __init__(self, ident, service, record, slots=32, events=6, event_s=0.02, work_s=0.02):
        self.ident, self.service, self.record = ident, service, record
        self.slots, self.events, self.event_s, self.work_s = slots, events, event_s, work_s
        self.runs = []  # (time, request id, path, body)
        self.reached = []
        self.port = None
        self.state = "ready"
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.respond = None
        self.listener = None

    async def start(self, store, ip="127.0.0.1"):
        self.ip = ip
        self.port = self.port or free_ports(1, ip)[0]
        self.listener = await serve(self.handle, ip, self.port)
        await self.beat(store)

    async def beat(self, store):
        self.seq += 1
        await store.put("servers", self.ident, {
            "service": self.service, "address": "%s:%d" % (self.ip, self.port), "zone": "nl-ams", "version": "v1",
            "slots": self.slots, "state": self.state, "cold_left_ms": 0, "seq": self.seq, "born": self.born})

    def seal(self, ident):
        return (HEADER + "Response-Seal", "3e1b.%s.%s" % (self.ident, ident))

    async def handle(self, request, reader, writer):
        ident = request.get(HEADER + "Request-Id")
        echo = [(HEADER + "Request-Id", ident)]
        now = time.monotonic()
        self.reached.append((now, ident))
        want = request.get(HEADER + "Target-Instance")
        if want and want != self.ident:
            writer.write(response(421, b"", echo + [(HEADER + "Instance-Id", self.ident)]))
            return True
        if self.respond:
            return await self.respond(self, request, reader, writer, ident, echo)
        return await self.run(request, writer, ident, echo)

    async def run(self, request, writer, ident, echo):
        self.runs.append((time.monotonic(), ident, request.first.split(" ")[1], len(request.body)))
        if request.get(HEADER + "Token-Counts"):
            return await self.stream(request, writer, ident, echo)
        await asyncio.sleep(self.work_s)
        writer.write(response(200, b"done " + ident.encode(), echo + [self.seal(ident)]))
        await writer.drain()
        return True

    async def stream(self, request, writer, ident, echo, events=None):
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        head += ["%s: %s" % h for h in echo + [self.seal(ident)]]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        first = int(request.get("last-event-id", "0") or 0) + 1
        for i in range(first, (events or self.events) + 1):
            await asyncio.sleep(self.event_s)
            event = b"id: %d\ndata: %s part %d\n\n" % (i, ident.encode(), i)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Daemon:
    """An entry daemon of the project, started as the deploy file says."""

    def __init__(self, binary, folder, name, store_port, ip="127.0.0.1", zone="nl-ams", region="nl", extra=None, zones=None):
        self.binary, self.folder, self.name, self.ip = binary, folder, name, ip
        self.front, self.ready, self.control, self.peer, self.metrics = free_ports(5, ip)
        self.store_port, self.zone, self.region = store_port, zone, region
        self.extra = extra or {}
        self.zones = zones or {"nl-ams": "nl", "de-fra": "de", "nl-ehv": "nl"}
        self.process = None

    def settings(self):
        s = {
            "node": self.name, "role": "entry", "machine_class": "front", "serves": "front", "ip": self.ip, "zone": self.zone,
            "region": self.region, "listen.front": "%s:%d" % (self.ip, self.front), "listen.ready": "%s:%d" % (self.ip, self.ready),
            "listen.control": "%s:%d" % (self.ip, self.control), "port_range": "%d,%d" % (self.peer, self.peer + 15),
            "seeds": "%s:%d" % (self.ip, self.control), "bootstrap": "true", "fault_counted": "false", "limits.cpu_share": "0.8",
            "limits.cores": "1", "limits.memory_mb": "164", "limits.max_fds": "8200", "limits.link_mbps": "1000.0",
            "limits.disk_mb": "0", "discovery": "platform", "entry": "vip", "heartbeat_ms": "1200",
            "contracts": "base,drain,config,cost,recover,agent,stream,engine,platform", "fault_tolerance.machines": "1",
            "bounds.seed_lag_s": "3", "bounds.reuse_after_s": "2", "bounds.contact_ms": "3000", "bounds.drain_ms": "2500",
            "bounds.grace_s": "8", "bounds.loss_slack_ms": "200", "bounds.config_apply_ms": "2500",
            "bounds.rollback_slack_ms": "250", "bounds.max_skew_ms": "5000", "bounds.recover_s": "12",
            "platform.address": "127.0.0.1:%d" % self.store_port, "platform.form": "table", "platform.writes_per_s": "800",
            "platform.reads_per_s": "2000", "platform.tx_ms": "3.0", "platform.part_writes_s": "300",
            "platform.row_bytes": "65536", "platform.across": "true", "platform.history_s": "20",
        }
        for zone, region in self.zones.items():
            s["zones." + zone] = region
        s.update(self.extra)
        return "".join("%s=%s\n" % item for item in s.items())

    async def start(self):
        path = os.path.join(self.folder, self.name + ".conf")
        with open(path, "w", encoding="utf-8") as f:
            f.write(self.settings())
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["DOGWOODWEIR_SETTINGS"] = path
        self.process = await asyncio.create_subprocess_exec(
            self.binary, "-metrics", str(self.metrics), env=environment, stdout=log, stderr=log)

    async def await_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(b"GET /dogwoodweir/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if head.first.split(" ")[1] == "200":
                    return True
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            await self.process.wait()


class Answer:
    """What a client got: status, headers, body and how it ended: whole, cut, reset, timeout or refused."""

    def __init__(self):
        self.status, self.headers, self.body, self.end = 0, {}, b"", "none"
        self.sealed = False

    def __str__(self):
        return "%s, status %d, sealed %s, %d bytes" % (self.end, self.status, self.sealed, len(self.body))


class Client:
    """A client with one kept channel at a time."""

    def __init__(self, ip, port):
        self.ip, self.port, self.reader, self.writer = ip, port, None, None

    async def open(self):
        if self.writer is None or self.writer.is_closing():
            self.reader, self.writer = await asyncio.open_connection(self.ip, self.port, limit=1 << 22)

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None

    async def request(self, method, path, ident, body=b"", headers=(), deadline_ms=3000, host="ficu95.example", wait_s=None):
        answer = Answer()
        try:
            await self.open()
            lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + host, HEADER + "Request-Id: " + ident,
                     HEADER + "Deadline-Ms: %d" % deadline_ms]
            lines += ["%s: %s" % h for h in headers]
            if body or method == "POST":
                lines.append("Content-Length: %d" % len(body))
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            await asyncio.wait_for(self.read(answer), wait_s or deadline_ms / 1000)
        except asyncio.TimeoutError:
            answer.end = "timeout"
            self.close()
        except asyncio.IncompleteReadError as e:
            answer.body += e.partial or b""
            answer.end = "cut" if answer.status else "closed"
            self.close()
        except ConnectionError:
            answer.end = "reset"
            self.close()
        except OSError:
            answer.end = "refused"
            self.close()
        return answer

    async def read(self, answer):
        head = await read_head(self.reader)
        while head.first.split(" ")[1] == "100":
            head = await read_head(self.reader)
        answer.status = int(head.first.split(" ")[1])
        answer.headers = head.headers
        answer.sealed = (HEADER + "Response-Seal").lower() in head.headers
        if head.get("transfer-encoding").lower() == "chunked":
            while True:
                size = int((await self.reader.readuntil(b"\r\n")).strip().split(b";")[0], 16)
                part = await self.reader.readexactly(size + 2)
                if size == 0:
                    break
                answer.body += part[:-2]
        else:
            answer.body = await self.reader.readexactly(int(head.get("content-length", "0") or 0))
        answer.end = "whole"
        if head.get("connection").lower() == "close":
            self.close()


def new_id():
    return "%016x" % random.getrandbits(64)


def manifest(version, routes, services, limits=None):
    return {"version": version, "routes": routes, "services": services, "limits": limits or {
        "header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def turn_route(name="r-turn", prefix="/lohu930/", service="huvo11a", **more):
    route = {"name": name, "host": "ficu95.example", "prefix": prefix, "kind": "streaming", "timeout_ms": 4000, "slo_ms": 250,
             "priority": 0, "service": service, "max_attempts": 1, "retain_history": True, "retention_s": 60.0, "sticky": True,
             "resumable": False, "target_gap_ms": 300}
    route.update(more)
    return route


def plain_route(name, prefix, kind, service="wuno96b", **more):
    route = {"name": name, "host": "ficu95.example", "prefix": prefix, "kind": kind, "timeout_ms": 1500, "slo_ms": 150,
             "priority": 2, "service": service, "max_attempts": 1}
    route.update(more)
    return route


def engine_service(name="huvo11a", **engine):
    e = {"slots": 32, "kv_capacity": 862726, "tokens_per_event": 18, "models": [{"name": "m"}]}
    e.update(engine)
    return {"name": name, "health_path": "/health", "max_conns": 230, "protocol": "h1", "tls": False, "engine": e}


def plain_service(name="wuno96b", **more):
    s = {"name": name, "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": False}
    s.update(more)
    return s


def play(main):
    """Run a case and exit with its status: 2 if it could not run or was told to end."""

    async def guarded():
        task, loop = asyncio.current_task(), asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await main()
        except asyncio.CancelledError:
            return 2
        except Exception:
            traceback.print_exc()
            return 2

    status = asyncio.run(guarded())
    print("status %d" % status)
    sys.exit(status)
