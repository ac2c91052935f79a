"""Stand-ins for the users' platform on loopback: the store, upstreams and consumers, and a harness that runs the
project's sidecar as one process per machine. They follow PROTOCOL.md and DEPLOY.md; only the standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SIDECAR = os.path.join(ROOT, "target", "release", "damaskwick-sidecar")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def find_port_base(ips, count):
    """A base such that `count` ports from it are free for TCP and UDP on all addresses."""
    for _ in range(200):
        base = random.randrange(20000, 31000, 50)
        held = []
        try:
            for ip in ips:
                for port in range(base, base + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        probe = socket.socket(socket.AF_INET, kind)
                        held.append(probe)
                        probe.bind((ip, port))
            return base
        except OSError:
            continue
        finally:
            for probe in held:
                probe.close()
    raise RuntimeError("no free ports")


class Record:
    """The record of a run; `record.txt` in the folder of the case."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def line(self, *words):
        self.file.write("%9.3f %s\n" % (self.now(), " ".join(str(word) for word in words)))

    def say(self, *words):
        self.line(*words)
        self.file.flush()
        print(" ".join(str(word) for word in words), flush=True)


async def read_head(reader):
    """Reads a start line and headers; names are in lower case. None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for text in lines[1:]:
        if text:
            name, _, value = text.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


async def read_body(reader, headers):
    """Reads the body of a message with a length or in chunks."""
    fields = dict(headers)
    if "chunked" in fields.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(fields.get("content-length", "0") or "0"))


# The store ---------------------------------------------------------------------------------------------------------


class Store:
    """The platform's metadata store: items, ranges, watches, transactions and leases, linearizable.

    It listens once for each machine, so that it can turn single machines away.
    """

    ANSWER_S = 0.004

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.log = []
        self.leases = {}
        self.next_lease = 1000
        self.waiting = set()
        self.turned_away = set()
        self.servers = []
        # For drills: how often the store came back from a copy, and whether it is away.
        self.era = 1
        self.away = False
        # Called with the machine and the keys of each transaction that took effect.
        self.on_write = lambda machine, keys: None

    async def listen(self, machine, ip, port):
        async def serve(reader, writer):
            await self.serve(machine, reader, writer)

        self.servers.append(await asyncio.start_server(serve, ip, port))

    async def close(self):
        for server in self.servers:
            server.close()

    async def serve(self, machine, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                start, headers = head
                body = await read_body(reader, headers)
                method, target, _ = start.split(" ", 2)
                await asyncio.sleep(self.ANSWER_S)
                if self.away:
                    break
                if machine in self.turned_away:
                    status, reply = 503, {}
                else:
                    status, reply = await self.call(machine, method, target, body)
                    if machine in self.turned_away or self.away:
                        # A watch that was waiting is cut.
                        break
                data = json.dumps(reply).encode()
                writer.write(
                    b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n%s"
                    % (status, self.era, len(data), data)
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    def copy(self):
        """A copy of what the store holds, for a drill."""
        return self.revision, dict(self.items), list(self.log), {k: list(v) for k, v in self.leases.items()}

    async def drill(self, copy, away_s):
        """The store is away for a moment and comes back from a copy. Leases run on by the clock."""
        self.away = True
        self.notify()
        await asyncio.sleep(away_s)
        self.revision, self.items, self.log, self.leases = copy
        self.era += 1
        self.away = False

    async def call(self, machine, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        path = url.path
        self.expire()
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, at=self.revision)) if item else (404, {})
        if path == "/-/kv-range":
            return 200, self.range(query)
        if path == "/-/kv-watch":
            return await self.watch(machine, query)
        data = json.loads(body) if body else {}
        if path == "/-/kv-txn":
            return await self.txn(machine, data)
        if path == "/-/kv-lease":
            self.next_lease += 1
            ttl = max(1000, min(int(data["ttl_ms"]), 600000))
            self.leases[self.next_lease] = [time.monotonic() + ttl / 1000, ttl]
            return 200, {"lease_id": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/-/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {}
            lease[0] = time.monotonic() + lease[1] / 1000
            return 200, {"ttl_ms": lease[1]}
        if path.startswith("/-/kv-lease-end/"):
            known = self.leases.pop(int(path.rsplit("/", 1)[1]), None)
            self.expire()
            self.notify()
            return (200, {}) if known else (404, {})
        return 400, {}

    def notify(self):
        """Wakes the watches that wait."""
        for event in list(self.waiting):
            event.set()

    def expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (until, _) in self.leases.items() if until <= now]:
            del self.leases[lease]
        for key in [k for k, i in self.items.items() if i["lease_id"] and i["lease_id"] not in self.leases]:
            self.remove(key)

    async def sweep(self):
        """Removes the keys of leases that ran out, so that watches hear of it."""
        while True:
            await asyncio.sleep(0.05)
            before = self.revision
            self.expire()
            if self.revision != before:
                self.notify()

    def remove(self, key):
        del self.items[key]
        self.revision += 1
        self.log.append({"key": key, "revision": self.revision, "deleted": True})

    def set(self, key, value, lease):
        self.revision += 1
        old = self.items.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created_rev": old["created_rev"] if old else self.revision,
            "lease_id": lease,
        }
        self.items[key] = item
        self.log.append(item)

    def range(self, query):
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        return {"items": [self.items[key] for key in keys[:500]], "has_more": len(keys) > 500, "at": self.revision}

    async def watch(self, machine, query):
        prefix, after = query["path_prefix"], int(query["after"])
        until = time.monotonic() + min(int(query["wait_ms"]), 30000) / 1000
        era = self.era
        while True:
            if after > self.revision or era != self.era:
                return 410, {}
            events = [e for e in self.log if e["revision"] > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0 or machine in self.turned_away or self.away:
                return 200, {"events": events, "at": self.revision}
            event = asyncio.Event()
            self.waiting.add(event)
            await asyncio.wait([asyncio.ensure_future(event.wait())], timeout=left)
            event.set()
            self.waiting.discard(event)

    async def txn(self, machine, data):
        for row in data.get("expect") or []:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [row["key"] for row in data["expect"]]
                return 412, {"items": [self.items[key] for key in keys if key in self.items]}
        for row in data.get("set_keys") or []:
            if row.get("lease_id") and row["lease_id"] not in self.leases:
                return 404, {}
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
        for row in data.get("set_keys") or []:
            self.set(row["key"], row["value"], row.get("lease_id") or 0)
        for key in data.get("remove") or []:
            if key in self.items:
                self.remove(key)
        self.on_write(machine, [row["key"] for row in data.get("set_keys") or []])
        self.notify()
        return 200, {"revision": self.revision}

    async def operator_put(self, key, value):
        """A write of the operator."""
        self.set(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)
        self.notify()

    def operator_get(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None


# Upstreams ---------------------------------------------------------------------------------------------------------


class Upstream:
    """A sound application upstream: answers with the id of the request, runs at most `slots` at a time, announces
    itself to the daemon on its machine."""

    def __init__(self, machine, service, version, record, on_run=None, slots=12, work_s=0.02):
        self.machine, self.service, self.version, self.record = machine, service, version, record
        self.slots, self.work_s, self.on_run = slots, work_s, on_run
        self.server, self.pings, self.writers = None, None, set()
        self.running, self.runs, self.instance = 0, [], None
        self.state = "ready"

    async def start(self):
        self.instance = "i-%08x" % random.getrandbits(32)
        self.born, self.seq, self.state = int(time.time() * 1000), 0, "ready"
        self.server = await asyncio.start_server(self.serve, self.machine.ip, self.machine.app_port)
        self.pings = asyncio.ensure_future(self.ping_on())

    def stop(self):
        """The process ends: the listener is closed and all connections are reset."""
        if self.server is None:
            return
        self.server.close()
        self.server = None
        if self.pings:
            self.pings.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    async def ping_on(self):
        while True:
            try:
                await asyncio.wait_for(self.ping(), 1.0)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(self.machine.fleet.heartbeat_s * random.uniform(0.9, 1.1))

    async def ping(self):
        self.seq += 1
        body = {
            "address": "%s:%d" % (self.machine.ip, self.machine.app_port),
            "born": self.born,
            "info": {
                "service": self.service,
                "version": self.version,
                "zone": self.machine.zone,
                "slots": self.slots,
            },
            "status": {"state": self.state, "seq": self.seq, "cold_left_ms": 0},
        }
        await self.call_daemon("PUT", body)

    async def call_daemon(self, method, body=None):
        reader, writer = await asyncio.open_connection(self.machine.ip, self.machine.control_port)
        try:
            data = json.dumps(body).encode() if body else b""
            writer.write(
                b"%s /-/instances/%s HTTP/1.1\r\nHost: d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                % (method.encode(), self.instance.encode(), len(data), data)
            )
            head = await read_head(reader)
            return head and int(head[0].split(" ")[1])
        finally:
            writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.server is not None:
                head = await read_head(reader)
                if head is None:
                    break
                start, headers = head
                body = await read_body(reader, headers)
                method, path, _ = start.split(" ", 2)
                fields = dict(headers)
                status, extra, text = await self.answer(method, path, fields, body)
                if self.server is None:
                    break
                reply = "HTTP/1.1 %d x\r\nContent-Length: %d\r\nX-Damaskwick-Instance-Id: %s\r\n" % (
                    status,
                    len(text),
                    self.instance,
                )
                if "x-damaskwick-request-id" in fields:
                    reply += "X-Damaskwick-Request-Id: %s\r\n" % fields["x-damaskwick-request-id"]
                for name, value in extra:
                    reply += "%s: %s\r\n" % (name, value)
                writer.write(reply.encode() + b"\r\n" + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, path, fields, body):
        if path == "/health":
            return (200 if self.state == "ready" else 503), [], b""
        expected = fields.get("x-damaskwick-target-instance")
        if expected is not None and expected != self.instance:
            return 421, [("X-Damaskwick-Not-Executed", "1")], b""
        if self.running >= self.slots:
            return 503, [("X-Damaskwick-Not-Executed", "1")], b""
        self.running += 1
        try:
            run = {
                "at": self.record.now(),
                "id": fields.get("x-damaskwick-request-id"),
                "method": method,
                "path": path,
                "body": body,
                "service": self.service,
                "version": self.version,
                "machine": self.machine.name,
                "instance": self.instance,
                "caller": fields.get("x-damaskwick-caller-service"),
                "fields": fields,
            }
            self.runs.append(run)
            self.record.line("run", run["id"], method, path, "at", self.machine.name, self.version, self.instance)
            status = 200
            if self.on_run is not None:
                status = await self.on_run(self, run) or 200
            await asyncio.sleep(self.work_s)
            return status, [("X-Damaskwick-Response-Stamp", "s." + str(run["id"]))], b"body of " + str(run["id"]).encode()
        finally:
            self.running -= 1


# Machines ----------------------------------------------------------------------------------------------------------


class Machine:
    def __init__(self, fleet, number, name, zone, service):
        self.fleet, self.number, self.name, self.zone, self.service = fleet, number, name, zone, service
        self.ip = "127.0.0.%d" % (10 + number)
        self.store_ip = "127.0.9.%d" % (10 + number)
        self.process, self.log = None, None

    @property
    def app_port(self):
        return self.fleet.base + 1

    @property
    def control_port(self):
        return self.fleet.base + 2

    @property
    def outbound_port(self):
        return self.fleet.base + 3

    def settings(self):
        base = self.fleet.base
        zones = "\n".join('%s = "%s"' % (zone, self.fleet.region) for zone in self.fleet.zones)
        contracts = ",".join('"%s"' % name for name in self.fleet.contracts)
        bounds = "\n".join("%s = %s" % (k, json.dumps(v)) for k, v in self.fleet.bounds.items())
        return f"""[self]
node_name = "{self.name}"
role = "sidecar"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "{self.fleet.region}"
in_fault_budget = false
bootstrap = true
app_addr = "{self.ip}:{self.app_port}"
service = "{self.service}"
[self.limits]
cpu_share = 0.5
cpu_cores = 1
memory_mb = 512
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
internal_ports = [{base + 10},{base + 25}]
seeds = []
[network.listen_addrs]
inbound = "{self.ip}:{base + 4}"
outbound = "{self.ip}:{self.outbound_port}"
ready = "{self.ip}:{base + 5}"
control = "{self.ip}:{self.control_port}"
[network.zones]
{zones}
[platform]
discovery = "local"
entry = "local"
heartbeat_ms = {int(self.fleet.heartbeat_s * 1000)}
[platform.platform]
address = "{self.store_ip}:{base + 6}"
form = "kv"
writes_per_s = 1200
reads_per_s = 6000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[terms]
contracts = [{contracts}]
[terms.fault_tolerance]
machines = 2
zones = 1
regions = 0
[terms.bounds]
{bounds}
"""

    def start(self):
        path = os.path.join(self.fleet.folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        self.log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        env = {"PATH": os.environ["PATH"], "DAMASKWICK_BOOT": path}
        self.process = subprocess.Popen(
            [SIDECAR], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log
        )
        self.fleet.record.line("daemon", self.name, "started")

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.fleet.base + 5)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: d\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False

    def log_text(self):
        with open(os.path.join(self.fleet.folder, self.name + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()


class Fleet:
    """The machines of a small deployment with their store."""

    BOUNDS = {
        "seed_lag_s": 3,
        "addr_reuse_s": 2,
        "stable_window_ms": 3000,
        "ack_ms": 5000,
        "catch_up_s": 6,
        "drain_ms": 2500,
        "grace_s": 6,
        "loss_slack_ms": 200,
        "config_apply_ms": 2500,
        "rollback_slack_ms": 250,
        "max_skew_ms": 5000,
        "retry_budget_ratio": 0.2,
        "budget_window_s": 10,
        "budget_slack": 186,
        "recovery_s": 15,
    }

    def __init__(self, folder, contracts, zones, bounds=None, heartbeat_s=1.5):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="damaskwick-review-")
        self.contracts, self.zones, self.region = contracts, zones, "region-a"
        self.bounds = dict(self.BOUNDS, **(bounds or {}))
        self.heartbeat_s = heartbeat_s
        self.machines, self.base, self.store = [], None, Store()
        self.sweeper = None

    def add(self, name, zone, service):
        machine = Machine(self, len(self.machines), name, zone, service)
        self.machines.append(machine)
        return machine

    async def open(self):
        ips = [m.ip for m in self.machines] + [m.store_ip for m in self.machines]
        self.base = find_port_base(ips, 30)
        for machine in self.machines:
            await self.store.listen(machine.name, machine.store_ip, self.base + 6)
        self.sweeper = asyncio.ensure_future(self.store.sweep())

    async def wait_ready(self, machines, limit_s=20):
        until = time.monotonic() + limit_s
        for machine in machines:
            while not await machine.is_ready():
                if time.monotonic() > until:
                    raise RuntimeError(machine.name + " is not ready")
                await asyncio.sleep(0.1)

    async def close(self, upstreams=()):
        for upstream in upstreams:
            upstream.stop()
        for machine in self.machines:
            machine.kill()
        if self.sweeper:
            self.sweeper.cancel()
        await self.store.close()
        self.record.file.flush()
        shutil.rmtree(self.folder, ignore_errors=True)


# Consumers ---------------------------------------------------------------------------------------------------------


async def request(machine, method, path, body=b"", host="shop.example", deadline_ms=2000, headers=(), record=None, ident=None):
    """One consumer attempt on a new connection. Returns id, status (0 without an answer), headers and body."""
    ident = ident or "%016x" % random.getrandbits(64)
    if record:
        record.line("sent", ident, method, path, "to", machine.name)
    status, fields, text = 0, {}, b""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(machine.ip, machine.outbound_port), 1)
        try:
            head = "%s %s HTTP/1.1\r\nHost: %s\r\nX-Damaskwick-Request-Id: %s\r\nX-Damaskwick-Deadline-Ms: %d\r\n" % (
                method,
                path,
                host,
                ident,
                deadline_ms,
            )
            for name, value in headers:
                head += "%s: %s\r\n" % (name, value)
            if body or method != "GET":
                head += "Content-Length: %d\r\n" % len(body)
            writer.write(head.encode() + b"\r\n" + body)

            async def answer():
                await writer.drain()
                start, got = await read_head(reader)
                return int(start.split(" ")[1]), dict(got), await read_body(reader, got)

            status, fields, text = await asyncio.wait_for(answer(), deadline_ms / 1000 + 0.5)
        finally:
            writer.close()
    except (OSError, TypeError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    if record:
        record.line("answer", ident, status, fields.get("damaskwick-reason", ""))
    return ident, status, fields, text


def route(name, prefix, kind, service, timeout_ms=2000, latency_ms=300, attempts=2):
    return {
        "name": name,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": latency_ms,
        "priority": 1,
        "service": service,
        "max_attempts": attempts,
        "public": False,
    }


def config(version, services, routes, host="shop.example"):
    return {
        "version": version,
        "services": [
            {"name": name, "health_path": "/health", "max_connections": 120, "protocol": "h1", "tls": False}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "virtual_hosts": [{"host": host, "paths": routes}],
    }


def main(play):
    """Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

    async def bounded():
        # A case that is stopped ends its processes too.
        task = asyncio.ensure_future(play())
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, 110)

    if not os.path.exists(SIDECAR):
        print("the program of the deploy file is not built")
        sys.exit(2)
    try:
        broken = asyncio.new_event_loop().run_until_complete(bounded())
        code = 1 if broken else 0
    except (Exception, asyncio.CancelledError) as error:  # Anything else than a verdict means that the case could not run.
        print("could not run: %r" % (error,))
        code = 2
    print("the rule was broken" if code == 1 else "the rule held" if code == 0 else "no result", flush=True)
    # Connections of stand-ins that are still open need no orderly end.
    os._exit(code)
