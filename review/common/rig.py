"""A small deployment on loopback: daemons as separate processes, and stand-ins of the platform's
store, of upstreams and of consumers, all of which speak PROTOCOL.md."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "damaskwick-sidecar")
# An older build, made by build.sh.
PRODUCTION = os.path.join(ROOT, "target", "review", "build", "release", "damaskwick-sidecar")
OUTBOUND, INBOUND, READY, CONTROL, APP, STORE = 8629, 8624, 8625, 8620, 8628, 8627
INTERNAL = (7600, 7615)

# The bounds, contracts and machines of grown/vhs-mesh-grown.toml. `fleetbench wire` prints the first two; most machines
# of the site are of this class.
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 3000, "ack_ms": 5000, "catch_up_s": 6,
    "drain_ms": 2500, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2500,
    "rollback_slack_ms": 250, "max_skew_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
    "budget_slack": 158, "recovery_s": 15,
}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "health", "pool", "platform"]
MEMORY_MB, SLOTS = 160, 18

START = time.monotonic()


def now():
    return time.monotonic() - START


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{now():9.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP/1.1 message; returns (first line, headers, body), or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif lines[0].startswith("HTTP/") and not lines[0].split()[1] in ("204", "304"):
        body = await reader.read()
    return lines[0], headers, body


def message(first, headers, body=b""):
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{first}\r\n{head}content-length: {len(body)}\r\n\r\n".encode("latin-1") + body


async def call(addr, method, path, headers, body=b"", limit=5.0):
    """One request on a new connection; returns (status, headers, body), status 0 without an answer."""
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(*addr)
            writer.write(message(f"{method} {path} HTTP/1.1", headers, body))
            await writer.drain()
            first, answer, data = await read_message(reader)
            return int(first.split()[1]), answer, data
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError, IndexError):
        return 0, {}, b""
    finally:
        if writer:
            writer.close()


class Store:
    """The platform's store, PROTOCOL.md, "The platform's metadata store"."""

    def __init__(self, record):
        self.record, self.items, self.log, self.revision = record, {}, [], 100
        self.leases, self.next_lease, self.changed = {}, 70000, asyncio.Event()
        self.writers, self.silent = set(), set()

    async def start(self, addr):
        self.server = await asyncio.start_server(self.serve, *addr)
        self.sweeper = asyncio.create_task(self.sweep())

    def write(self, changes):
        """Applies (key, value or None, lease) together."""
        self.revision += 1
        for key, value, lease in changes:
            if value is None:
                if self.items.pop(key, None):
                    self.log.append((self.revision, {"key": key, "revision": self.revision, "deleted": True}))
                continue
            created = self.items[key]["created_rev"] if key in self.items else self.revision
            item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                    "created_rev": created, "lease_id": lease}
            self.items[key] = item
            self.log.append((self.revision, item))
        self.changed.set()
        self.changed = asyncio.Event()

    def operator(self, config):
        """The operator writes a configuration; the return is the ack."""
        self.write([("op/config", json.dumps(config).encode(), 0)])
        self.record(f"operator: config {config['version']} acknowledged")

    async def sweep(self):
        while True:
            await asyncio.sleep(0.1)
            for lease in [l for l, (_, end) in self.leases.items() if end <= time.monotonic()]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item["lease_id"] == lease]
        if keys:
            self.write([(key, None, 0) for key in keys])
        return True

    def silence(self):
        """All open connections go silent for good, without a reset; new ones work."""
        self.silent |= self.writers
        self.record(f"store: {len(self.writers)} open connections go silent")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, _, body = await read_message(reader)
                if writer in self.silent:
                    continue
                method, target, _ = first.split()
                path, _, query = target.partition("?")
                args = {k: v[0] for k, v in urllib.parse.parse_qs(query).items()}
                status, answer = await self.answer(method, path, args, json.loads(body or b"{}"))
                await asyncio.sleep(0.004)
                if writer in self.silent:
                    continue
                data = json.dumps(answer).encode()
                writer.write(message(f"HTTP/1.1 {status} X", {"content-type": "application/json", "store-era": "1"}, data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, path, args, body):
        prefix = args.get("path_prefix", "")
        if path == "/-/kv-key":
            item = self.items.get(args.get("key", ""))
            return (200, {**item, "at": self.revision}) if item else (404, {"at": self.revision})
        if path == "/-/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > args.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys], "has_more": False, "at": self.revision}
        if path == "/-/kv-watch":
            end = time.monotonic() + int(args["wait_ms"]) / 1000
            while True:
                events = [e for r, e in self.log if r > int(args["after"]) and e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass
        if path == "/-/kv-txn":
            current = [self.items.get(e["key"], {"key": e["key"], "revision": 0}) for e in body.get("expect", [])]
            if any(c["revision"] != e["revision"] for c, e in zip(current, body.get("expect", []))):
                return 412, {"items": current}
            sets = body.get("set_keys", [])
            if any(s.get("lease_id") and s["lease_id"] not in self.leases for s in sets):
                return 404, {}
            names = [s["key"] for s in sets] + list(body.get("remove", []))
            if any(n.startswith(("op/", "servers/")) for n in names):
                return 403, {}
            changes = [(s["key"], base64.b64decode(s["value"]), s.get("lease_id") or 0) for s in sets]
            self.write(changes + [(k, None, 0) for k in body.get("remove", [])])
            return 200, {"revision": self.revision}
        if path == "/-/kv-lease":
            self.next_lease += 1
            ttl = max(1000, int(body["ttl_ms"]))
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease_id": self.next_lease, "ttl_ms": ttl}
        lease = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else 0
        if path.startswith("/-/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/-/kv-lease-end/"):
            return (200, {}) if self.end_lease(lease) else (404, {})
        return 404, {}


class Upstream:
    """An upstream on a machine, PROTOCOL.md, "Upstreams" and "Service discovery"."""

    def __init__(self, rig, host, service, work=0.02, slots=SLOTS, poison=None):
        self.rig, self.host, self.service, self.work, self.slots = rig, host, service, work, slots
        self.poison, self.runs, self.server, self.beater = poison, [], None, None
        # The share of its requests that a grey upstream fails after it has run them, and the status.
        self.grey, self.grey_status = 0.0, 503
        # The share of its requests that the upstream rejects without running them, and whether the bodies
        # of these responses have no end.
        self.shed, self.endless = 0.0, False
        self.writers, self.state, self.pinging = set(), "ready", True

    async def start(self):
        """Begins a lifetime."""
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born, self.seq = int(time.time() * 1000), 0
        self.free = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self.serve, *self.host.addr(APP))
        self.rig.record(f"upstream {self.id} of {self.service} starts on {self.host.name}")
        self.beater = asyncio.create_task(self.beat())

    def stop(self):
        """Ends the lifetime; open connections are reset, as at a crash."""
        if self.beater:
            self.beater.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.server = self.beater = None

    async def crash(self, back_after=2.0):
        self.rig.record(f"upstream {self.id} on {self.host.name} crashes")
        self.stop()
        await asyncio.sleep(back_after)
        await self.start()

    def report(self):
        """The next ping: (path, body)."""
        self.seq += 1
        ip, port = self.host.addr(APP)
        body = {"address": f"{ip}:{port}", "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.host.zone, "slots": self.slots},
                "status": {"state": self.state, "seq": self.seq, "cold_left_ms": 0}}
        return f"/-/instances/{self.id}", json.dumps(body).encode()

    async def send_report(self, path, body, method="PUT"):
        headers = {"host": "control", "content-type": "application/json"}
        return await call(self.host.addr(CONTROL), method, path, headers, body, 1.0)

    async def beat(self):
        while True:
            if self.pinging:
                await self.send_report(*self.report())
            await asyncio.sleep(self.rig.heartbeat)

    async def leave(self):
        """Sends DELETE; returns the time of the ack."""
        self.pinging = False
        status, _, _ = await self.send_report(f"/-/instances/{self.id}", b"", "DELETE")
        self.rig.record(f"upstream {self.id} DELETE acknowledged with {status}")
        return now() if 200 <= status < 300 else None

    async def reject(self, rid, echo, writer):
        """Rejects a request; an upstream in trouble sends bytes without end until the caller closes."""
        headers = {**echo, "x-damaskwick-not-executed": "1"}
        self.rig.record(f"reject {rid} by {self.id} on {self.host.name}{', without end' if self.endless else ''}")
        if not self.endless:
            writer.write(message("HTTP/1.1 503 Service Unavailable", headers, b"full\n"))
            return
        head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"HTTP/1.1 503 Service Unavailable\r\n{head}transfer-encoding: chunked\r\n\r\n".encode())
        chunk, sent = b"10000\r\n" + b"\0" * 65536 + b"\r\n", 0
        try:
            # The bound protects the machine on which the test runs.
            while sent < 600_000_000:
                writer.write(chunk)
                await writer.drain()
                sent += 65536
                await asyncio.sleep(0)
        finally:
            self.rig.record(f"{sent} bytes were sent in the body of {rid}")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split()
                rid = headers.get("x-damaskwick-request-id")
                expected = headers.get("x-damaskwick-target-instance", self.id)
                echo = {"x-damaskwick-request-id": rid} if rid else {}
                if expected != self.id:
                    writer.write(message("HTTP/1.1 421 Misdirected Request", {**echo, "x-damaskwick-instance-id": self.id}))
                elif random.random() < self.shed:
                    await self.reject(rid, echo, writer)
                elif rid is None:
                    writer.write(message("HTTP/1.1 400 Bad Request", {"x-damaskwick-not-executed": "1"}))
                else:
                    async with self.free:
                        run = {"t": now(), "id": rid, "method": method, "path": path, "service": self.service,
                               "instance": self.id, "host": self.host.name, "headers": headers}
                        self.runs.append(run)
                        self.rig.record(f"run {rid} {method} {path} by {self.service} {self.id} on {self.host.name}")
                        if self.poison and self.poison in path:
                            asyncio.create_task(self.crash())
                            return
                        await asyncio.sleep(self.work)
                        stamp = f"{self.id}.{len(self.runs)}"
                        if random.random() < self.grey:
                            run["failed"] = True
                            first = f"HTTP/1.1 {self.grey_status} Failed"
                            writer.write(message(first, {**echo, "x-damaskwick-response-stamp": stamp}, b"the run failed\n"))
                            await writer.drain()
                            continue
                        body = f"{self.service} {rid}\n".encode()
                        writer.write(message("HTTP/1.1 200 OK", {**echo, "x-damaskwick-response-stamp": stamp}, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Host:
    """A machine with a daemon."""

    def __init__(self, rig, idx, zone, service, seeds=()):
        self.rig, self.idx, self.zone, self.service, self.seeds = rig, idx, zone, service, seeds
        self.name, self.ip, self.child = f"sidecar-{zone}-{idx}", f"{rig.net}.{idx}", None
        self.program = PROGRAM

    def addr(self, port):
        return self.ip, port

    def write_settings(self):
        at = lambda port: f'"{self.ip}:{port}"'
        bounds = "\n".join(f"{name} = {value}" for name, value in self.rig.bounds.items())
        zones = "\n".join(f'{zone} = "region-1"' for zone in dict.fromkeys(self.rig.zones))
        contracts = json.dumps(self.rig.contracts)
        text = f"""[self]
node_name = "{self.name}"
role = "sidecar"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "region-1"
in_fault_budget = false
bootstrap = true
app_addr = {at(APP)}
service = "{self.service}"
[self.limits]
cpu_share = 0.1
cpu_cores = 1
memory_mb = {MEMORY_MB}
max_fds = 4100
link_mbps = 5.0
disk_mb = 0
[network]
internal_ports = [{INTERNAL[0]},{INTERNAL[1]}]
seeds = []
[network.listen_addrs]
inbound = {at(INBOUND)}
outbound = {at(OUTBOUND)}
ready = {at(READY)}
control = {at(CONTROL)}
[network.zones]
{zones}
[platform]
discovery = "local"
entry = "local"
heartbeat_ms = {int(self.rig.heartbeat * 1000)}
[platform.platform]
address = "{self.rig.store_addr[0]}:{STORE}"
form = "kv"
writes_per_s = 1200
reads_per_s = 6000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[terms]
contracts = {contracts}
[terms.fault_tolerance]
machines = 2
zones = 1
regions = 0
[terms.bounds]
{bounds}
"""
        self.file = os.path.join(self.rig.folder, f"{self.name}.toml")
        with open(self.file, "w", encoding="utf-8") as file:
            file.write(text)

    async def start(self):
        self.write_settings()
        with open(os.path.join(self.rig.folder, f"{self.name}.log"), "ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                self.program, cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""), "DAMASKWICK_BOOT": self.file})
        build = "" if self.program == PROGRAM else " (production build)"
        self.rig.record(f"daemon on {self.name} starts{build}")

    async def ready(self):
        status, _, _ = await call(self.addr(READY), "GET", "/-/ready", {"host": "ready"}, limit=1.0)
        return status == 200

    async def wait_ready(self, limit=20.0):
        end = now() + limit
        while not await self.ready():
            if now() > end:
                raise CannotRun(f"{self.name} is not ready after {limit} s")
            await asyncio.sleep(0.1)
        self.rig.record(f"daemon on {self.name} is ready")

    def signal(self, number):
        if self.child and self.child.returncode is None:
            self.child.send_signal(number)

    async def kill(self):
        self.rig.record(f"daemon on {self.name}: SIGKILL")
        self.signal(signal.SIGKILL)
        await self.child.wait()

    def memory_mb(self):
        """The resident memory of the daemon; 0 if it does not run."""
        try:
            with open(f"/proc/{self.child.pid}/statm", encoding="utf-8") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        except (OSError, IndexError):
            return 0.0

    async def limit_memory(self, memory_mb=MEMORY_MB, pause=0.5):
        """Kills the daemon when it exceeds its memory and starts it again, as the platform does."""
        self.most, self.ends = 0.0, 0
        while True:
            used = self.memory_mb()
            self.most = max(self.most, used)
            if used > memory_mb:
                self.ends += 1
                self.rig.record(f"daemon on {self.name} uses {used:.0f} MB and is killed")
                await self.kill()
                await asyncio.sleep(pause)
                await self.start()
            await asyncio.sleep(0.02)

    async def restart(self, grace=6.0, pause=0.5):
        """SIGTERM, SIGKILL after `grace`, and a new start, as the platform does."""
        self.rig.record(f"daemon on {self.name}: SIGTERM")
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.child.wait(), grace)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.child.wait()
        await asyncio.sleep(pause)
        await self.start()


class Rig:
    """The deployment."""

    def __init__(self, case, zones=("gva-a", "gva-b", "lau-a"), heartbeat=0.87, bounds=None, contracts=None):
        self.case, self.zones, self.heartbeat = case, zones, heartbeat
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.contracts = contracts or CONTRACTS
        self.record, self.hosts, self.upstreams, self.sent = Record(case), [], [], {}
        self.folder = tempfile.mkdtemp(prefix="review-")
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/release/damaskwick-sidecar is not built")
        self.net = self.free_net()
        self.store, self.store_addr = Store(self.record), (f"{self.net}.250", STORE)

    @staticmethod
    def free_net():
        for _ in range(50):
            net = f"127.{random.randint(16, 240)}.{random.randint(1, 250)}"
            try:
                for idx in (1, 2, 3, 4, 250):
                    for port in (OUTBOUND, READY, CONTROL, APP, STORE, 7600, 7601, 7602, 7603):
                        with socket.socket() as probe:
                            probe.bind((f"{net}.{idx}", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    async def start(self, services, config, program=PROGRAM, **options):
        """Starts the store, and a machine with a daemon and an upstream for each service."""
        await self.store.start(self.store_addr)
        self.store.operator(config)
        for idx, service in enumerate(services, 1):
            host = Host(self, idx, self.zones[(idx - 1) % len(self.zones)], service)
            host.program = program
            self.hosts.append(host)
            self.upstreams.append(Upstream(self, host, service, **options))
        await asyncio.gather(*(host.start() for host in self.hosts))
        await asyncio.gather(*(host.wait_ready() for host in self.hosts))
        await asyncio.gather(*(upstream.start() for upstream in self.upstreams))

    async def request(self, host, method, name, path, body=b"", deadline=1500, headers=None, limit=None):
        """A consumer attempt on a machine; returns (id, status, headers, body)."""
        rid = f"{random.getrandbits(64):016x}"
        self.sent[rid] = {"t": now(), "host": host.name, "path": path, "method": method}
        self.record(f"sent {rid} {method} {name}{path} to {host.name}")
        fields = {"host": name, "x-damaskwick-request-id": rid, "x-damaskwick-deadline-ms": deadline, **(headers or {})}
        status, answer, data = await call(host.addr(OUTBOUND), method, path, fields, body, limit or deadline / 1000 + 1)
        self.sent[rid].update(status=status, done=now())
        self.record(f"answer {rid} {status} {answer.get('x-damaskwick-response-stamp', '-')} {data[:80]!r}")
        return rid, status, answer, data

    async def kept_consumer(self, host, method, name, path, pause=0.05):
        """A consumer that sends requests on one connection, and opens another when that is closed."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*host.addr(OUTBOUND))
            except OSError:
                await asyncio.sleep(0.2)
                continue
            try:
                while True:
                    rid = f"{random.getrandbits(64):016x}"
                    self.sent[rid] = {"t": now(), "host": host.name, "path": path, "method": method, "status": None}
                    self.record(f"sent {rid} {method} {name}{path} to {host.name} on a kept connection")
                    fields = {"host": name, "x-damaskwick-request-id": rid, "x-damaskwick-deadline-ms": 1500}
                    writer.write(message(f"{method} {path} HTTP/1.1", fields, b"x"))
                    await writer.drain()
                    try:
                        first, fields, _ = await asyncio.wait_for(read_message(reader), 3)
                    except (OSError, asyncio.IncompleteReadError):
                        self.sent[rid].update(status=0, done=now())
                        self.record(f"closed {rid} without an answer")
                        break
                    self.sent[rid].update(status=int(first.split()[1]), done=now())
                    self.record(f"answer {rid} {first}")
                    if fields.get("connection", "").lower() == "close":
                        break
                    await asyncio.sleep(pause)
            except (OSError, TimeoutError):
                pass
            finally:
                writer.close()

    def runs(self, rid=None):
        found = [run for upstream in self.upstreams for run in upstream.runs]
        return sorted((r for r in found if rid in (None, r["id"])), key=lambda r: r["t"])

    async def close(self):
        for upstream in self.upstreams:
            upstream.stop()
        for host in self.hosts:
            if host.child and host.child.returncode is None:
                host.signal(signal.SIGKILL)
                await host.child.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, service, kind="safe", **fields):
    return {"name": name, "path_prefix": prefix, "kind": kind, "timeout_ms": 1500, "target_latency_ms": 300,
            "priority": 1, "service": service, "max_attempts": 2, **fields}


def config(version, services, hosts, **fields):
    rows = [{"name": s, "health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": False} for s in services]
    limits = {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    return {"version": version, "services": rows, "limits": limits,
            "virtual_hosts": [{"host": h, "paths": paths} for h, paths in hosts.items()], **fields}


def main(case_file, scenario, limit=110.0, **options):
    """Runs `scenario(rig, trouble)`, which returns the reasons why the rule was broken."""
    folder = os.path.dirname(os.path.abspath(case_file))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        rig = Rig(folder, **options)
        # Daemons are also ended if the case is interrupted.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(limit):
                broken = await scenario(rig, trouble)
            for reason in broken:
                rig.record(f"BROKEN {reason}")
            for reason in broken[:5]:
                print(f"broken: {reason}")
            rig.record(f"verdict: {'broken' if broken else 'held'} (TROUBLE={int(trouble)})")
            print("the rule was broken" if broken else "the rule held")
            return 1 if broken else 0
        except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
            rig.record(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await rig.close()

    try:
        code = asyncio.run(run())
    except CannotRun as error:
        print(f"could not run: {error}")
        code = 2
    sys.exit(code)
