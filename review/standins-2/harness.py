"""Stand-ins and process control for the review's scripts; standard library only.

Platform: a key-value store with one listener per machine, so that it can turn single machines away. Workers: model
workers that stream events and record what they run. Machines: the project's programs, started with the commands and the
settings template of the deploy file, each on a loopback address of its own.
"""

import base64
import http.client
import json
import os
import re
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import uuid

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "ficu95.example"
START = time.monotonic()


class Record:
    """Writes what happens to record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.last = ""

    def write(self, text):
        with self.lock:
            self.last = text
            self.file.write(f"{time.monotonic() - START:8.3f}  {text}\n")
            self.file.flush()


# ---------------------------------------------------------------- store


class Store:
    """Linearizable key-value store of the platform, with a revision counter and a complete history."""

    def __init__(self, record):
        self.record = record
        self.items = {}  # key -> [value or None, revision, created]
        self.revision = 1
        self.changed = threading.Condition()
        self.turned_away = set()
        self.listeners = {}

    def listen(self, machine):
        """Opens a listener for one machine; returns its address."""
        store = self

        class Handler(HttpHandler):
            def serve(self, method, target, headers, body):
                return store.answer(machine, method, target, body)

        server = start_server(Handler)
        self.listeners[machine] = server
        return "127.0.0.1:%d" % server.server_address[1]

    def put(self, key, value):
        """Writes as the operator or a worker; the return is the acknowledgement."""
        self._write(key, base64.b64encode(json.dumps(value).encode()).decode())

    def remove(self, key):
        self._write(key, None)

    def _write(self, key, encoded):
        with self.changed:
            self.revision += 1
            known = self.items.get(key)
            created = known[2] if known and known[0] is not None else self.revision
            self.items[key] = [encoded, self.revision, created]
            self.changed.notify_all()

    def value(self, key):
        with self.changed:
            known = self.items.get(key)
            if not known or known[0] is None:
                return None
            return json.loads(base64.b64decode(known[0]))

    def _item(self, key):
        value, revision, created = self.items[key]
        if value is None:
            return {"key": key, "revision": revision, "deleted": True}
        return {"key": key, "value": value, "revision": revision, "created": created, "lease": 0}

    def answer(self, machine, method, target, body):
        """Returns status and body, or None to close the connection."""
        if machine in self.turned_away:
            return 503, {}
        path, _, query = target.partition("?")
        args = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        args = {name: unquote(text) for name, text in args.items()}
        prefix = args.get("pathPrefix", "")
        if (method, path) == ("GET", "/kv-range"):
            with self.changed:
                keys = sorted(
                    key
                    for key, item in self.items.items()
                    if key.startswith(prefix) and key > args.get("after", "") and item[0] is not None
                )
                page = [self._item(key) for key in keys[:500]]
                return 200, {"items": page, "hasMore": len(keys) > 500, "at": self.revision}
        if (method, path) == ("GET", "/kv-key"):
            with self.changed:
                known = self.items.get(args.get("key", ""))
                if not known or known[0] is None:
                    return 404, {"at": self.revision}
                return 200, dict(self._item(args["key"]), at=self.revision)
        if (method, path) == ("GET", "/kv-watch"):
            return self._watch(machine, prefix, int(args.get("after", 0)), float(args.get("waitMs", 0)) / 1000)
        if (method, path) == ("POST", "/kv-txn"):
            return self._transact(machine, json.loads(body))
        return 404, {}

    def _watch(self, machine, prefix, after, wait):
        until = time.monotonic() + wait
        with self.changed:
            while True:
                if machine in self.turned_away:
                    return None
                keys = [
                    key for key, item in self.items.items() if key.startswith(prefix) and item[1] > after
                ]
                left = until - time.monotonic()
                if keys or left <= 0:
                    keys.sort(key=lambda key: self.items[key][1])
                    return 200, {"events": [self._item(key) for key in keys], "at": self.revision}
                self.changed.wait(left)

    def _transact(self, machine, call):
        with self.changed:
            rows = call.get("expectedRevision") or []
            for row in rows:
                known = self.items.get(row["key"])
                present = known[1] if known and known[0] is not None else 0
                if present != row["revision"]:
                    return 412, {"items": [self._item(r["key"]) for r in rows if r["key"] in self.items]}
            keys = [row["key"] for row in call.get("write") or []] + list(call.get("remove") or [])
            if any(key.startswith(("op/", "servers/")) for key in keys):
                return 403, {}
            for row in call.get("write") or []:
                self._write(row["key"], row["value"])
                if row["key"].endswith("placement"):
                    text = base64.b64decode(row["value"]).decode()
                    slots = [slot["name"] for slot in json.loads(text)["slots"]]
                    self.record.write(f"store: {machine} writes the placement: slots {slots}")
            for key in call.get("remove") or []:
                self._write(key, None)
            return 200, {"revision": self.revision}

    def turn_away(self, machines):
        with self.changed:
            self.turned_away = set(machines)
            self.changed.notify_all()


def unquote(text):
    return re.sub("%([0-9A-Fa-f]{2})", lambda match: chr(int(match[1], 16)), text)


# ---------------------------------------------------------------- HTTP server


class HttpHandler(socketserver.StreamRequestHandler):
    """Serves one request after the other on a connection."""

    disable_nagle_algorithm = True

    def handle(self):
        try:
            while self._handle_one():
                pass
        except (OSError, ValueError):
            pass

    def _handle_one(self):
        line = self.rfile.readline()
        if not line:
            return False
        method, target, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while True:
            line = self.rfile.readline().decode("latin-1")
            if line in ("\r\n", "\n"):
                break
            if not line:
                return False
            name, _, text = line.partition(":")
            headers[name.strip().lower()] = text.strip()
        body = self.rfile.read(int(headers.get("content-length", 0)))
        answer = self.serve(method, target, headers, body)
        if answer is None:
            return False
        if answer is True:
            return True
        status, content = answer[:2]
        lines = answer[2] if len(answer) > 2 else []
        text = content if isinstance(content, bytes) else json.dumps(content).encode()
        head = [f"HTTP/1.1 {status} Status", *lines, f"Content-Length: {len(text)}", "", ""]
        self.wfile.write("\r\n".join(head).encode() + text)
        return True


class Server(socketserver.ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


def start_server(handler, address=("127.0.0.1", 0)):
    server = Server(address, handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


# ---------------------------------------------------------------- workers


class Worker:
    """Streams `events` events as a model worker or, without events, answers as a plain service; records each run."""

    def __init__(self, store, record, service, zone, events=3):
        self.id = "i-" + uuid.uuid4().hex[:10]
        self.record, self.service, self.events = record, service, events
        self.runs, self.run_times = [], []
        self.lock = threading.Lock()
        worker = self

        class Handler(HttpHandler):
            def serve(self, method, target, headers, body):
                return worker.serve(self, method, target, headers, body)

        server = start_server(Handler)
        self.entry = {
            "service": service,
            "address": "127.0.0.1:%d" % server.server_address[1],
            "zone": zone,
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "coldRemainingMs": 0,
            "callSequence": 0,
        }
        self.store = store
        store.put("servers/" + self.id, self.entry)
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        while True:
            time.sleep(1.2)
            self.store.put("servers/" + self.id, self.entry)

    def serve(self, handler, method, target, headers, body):
        if target.startswith("/health"):
            return 200, b"", [f"X-Instance-Id: {self.id}", "X-Instance-Load: 0,0,16"]
        if target.startswith("/report"):
            return 200, {"stage": "both", "models": [], "queued": 0, "running": 0}
        request = headers.get("x-request-id")
        if not request:
            return 400, b"", ["X-Not-Executed: 1"]
        expected = headers.get("x-expected-instance")
        echo = f"X-Request-Id: {request}"
        if expected and expected != self.id:
            return 421, b"", [echo, "X-Not-Executed: 1"]
        with self.lock:
            self.runs.append((request, method, target, body))
            self.run_times.append((time.monotonic(), headers.get("x-tenant")))
        self.record.write(f"worker {self.id} ({self.service}) runs {request}: {method} {target}, {len(body)} bytes")
        if not self.events:
            lines = [echo, f"X-Server-Signature: {self.id}.{request}", "X-Instance-Load: 1,0,16"]
            return 200, b"done", lines
        head = [
            "HTTP/1.1 200 OK",
            echo,
            f"X-Server-Signature: {self.id}.{request}",
            "X-Instance-Load: 1,0,16",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            "",
            "",
        ]
        out = handler.wfile
        out.write("\r\n".join(head).encode())
        for number in range(1, self.events + 1):
            time.sleep(0.01)
            event = f"id: {number}\ndata: {request}.{number}\n\n".encode()
            out.write(b"%x\r\n%s\r\n" % (len(event), event))
        out.write(b"0\r\n\r\n")
        return True


# ---------------------------------------------------------------- machines


def render(template, fields):
    """Fills in a settings template as the platform does."""

    def lookup(path, scopes):
        if path == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value, found = scope, True
            for part in path.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    found = False
                    break
            if found:
                return value
        return None

    def fill(text, scopes):
        section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)

        def expand(match):
            value = lookup(match[1], scopes)
            if value is None or value is False or value == [] or value == {}:
                return ""
            return fill(match[2], scopes + [value])

        text = section.sub(expand, text)

        def place(match):
            value = lookup(match[1], scopes)
            if match[2]:
                return json.dumps(value)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", place, text)

    return fill(template, [fields])


class Deployment:
    """The machines of a small deployment: storage and frontend machines in three zones."""

    def __init__(self, record, folder, fronts=3, stores=3, bounds=None, tolerance=None):
        self.record, self.folder = record, folder
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        self.bounds = {
            "seedLagS": 3, "addressReuseS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4.8,
            "drainMs": 2000, "gracePeriodS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250,
            "maxExtensionMs": 5000, "recoveryS": 12, "deliveryLagMs": 120, "retryAfterS": 0, "deadlineS": 10,
            "settleMs": 1000, **(bounds or {}),
        }
        self.tolerance = tolerance or {"machineFailures": 1, "zones": 1, "regionFailures": 0}
        self.store = Store(record)
        self.machines = {}
        self.net = 10 + os.getpid() % 200
        self.ports = self.free_ports()
        for index in range(stores):
            self.add("storage", "bilbao-" + "abc"[index % 3], 1 + index // 3)
        for index in range(fronts):
            self.add("frontend", "bilbao-" + "abc"[index % 3], 1 + index // 3)

    def free_ports(self):
        for base in range(21000, 29000, 64):
            try:
                for offset in (0, 1, 2, 8, 9):
                    with socket.socket() as probe:
                        probe.bind((f"127.0.{self.net}.1", base + offset))
                return base
            except OSError:
                continue
        raise SystemExit(2)

    def add(self, machine_class, zone, number):
        name = f"{machine_class}-{zone}-{number}"
        address = f"127.0.{self.net}.{len(self.machines) + 1}"
        self.machines[name] = Machine(self, name, machine_class, zone, address)
        return self.machines[name]

    def of(self, machine_class):
        return [machine for machine in self.machines.values() if machine.machine_class == machine_class]

    def start(self):
        for machine in self.machines.values():
            machine.start()

    def wait_until_ready(self, seconds):
        """Waits until all frontend machines are ready; returns whether they are."""
        until = time.monotonic() + seconds
        while not all(machine.is_ready() for machine in self.of("frontend")):
            if time.monotonic() > until:
                self.record.write("not all frontend machines are ready")
                return False
            time.sleep(0.1)
        return True

    def stop(self):
        for machine in self.machines.values():
            machine.kill()


class Machine:
    def __init__(self, deployment, name, machine_class, zone, address):
        self.deployment, self.name, self.machine_class, self.zone = deployment, name, machine_class, zone
        self.address = address
        self.folder = os.path.join(deployment.folder, name)
        self.data = os.path.join(self.folder, "data")
        os.makedirs(self.data)
        self.role = next(
            role for role in deployment.deploy["roles"].values() if machine_class in role["serves"]
        )
        self.first_start, self.process, self.starts = True, None, 0
        self.store_address = deployment.store.listen(name)
        self.clients = (address, deployment.ports)

    def settings(self):
        deployment, base = self.deployment, self.deployment.ports
        is_front = self.machine_class == "frontend"
        listen = {"frontendAddress": f"{self.address}:{base}", "ready": f"{self.address}:{base + 1}"}
        memory = 110 if is_front else 130
        return {
            "nodeName": self.name, "machineClass": self.machine_class, "serves": self.role["serves"],
            "ipAddress": self.address, "zone": self.zone, "region": "bilbao",
            "zones": {f"bilbao-{letter}": "bilbao" for letter in "abc"},
            "listenAddresses": listen if is_front else {},
            "internalPortRange": [base + 8, base + 23], "seedNodes": [], "initialStart": self.first_start,
            "failureCounted": not is_front,
            "limits": {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": memory, "fileDescriptors": 4100,
                       "linkMbps": 1000.0, "diskMb": 0 if is_front else 500},
            "dataDirectory": None if is_front else self.data, "discovery": "platform", "entry": "virtual_ip",
            "heartbeatIntervalMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"],
            "faultTolerance": deployment.tolerance, "bounds": deployment.bounds,
            "platform": {"address": self.store_address, "form": "kv", "writesPerS": 400, "readsPerS": 2000,
                         "historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000},
        }

    def start(self):
        with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as file:
            text = render(file.read(), self.settings())
        path = os.path.join(self.folder, "settings")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        command = self.role["run"].replace("/etc/samphiregrade/settings.json", path).split(" ")
        command[0] = os.path.join(ROOT, command[0])
        self.starts += 1
        log = open(os.path.join(self.folder, f"log-{self.starts}"), "wb")
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.first_start = False
        self.deployment.record.write(f"{self.name} starts")

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()
            self.process = None

    def is_alive(self):
        return self.process is not None and self.process.poll() is None

    def wipe(self):
        shutil.rmtree(self.data)
        os.makedirs(self.data)

    def logs(self):
        parts = []
        for start in range(1, self.starts + 1):
            with open(os.path.join(self.folder, f"log-{start}"), encoding="utf-8", errors="replace") as file:
                parts.append(file.read())
        return "".join(parts)

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.address, self.deployment.ports + 1, timeout=1)
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False


# ---------------------------------------------------------------- clients


class Answer:
    def __init__(self, status, headers, body, whole, request):
        self.status, self.headers, self.body, self.whole, self.request = status, headers, body, whole, request

    def __str__(self):
        state = "whole" if self.whole else "broken off"
        return f"{self.status} ({state}, {len(self.body)} bytes)"


def send(record, machine, method, path, headers, body=b"", deadline=3.0):
    """Sends one client attempt on a new connection; status 0: no answer."""
    request = uuid.uuid4().hex[:16]
    lines = {"X-Request-Id": request, "X-Deadline-Ms": str(int(deadline * 1000)), "Host": HOST, **headers}
    status, fields, data, whole = 0, {}, b"", False
    try:
        connection = http.client.HTTPConnection(*machine.clients, timeout=deadline + 0.5)
        connection.putrequest(method, path, skip_host=True, skip_accept_encoding=True)
        for name, value in lines.items():
            connection.putheader(name, value)
        connection.putheader("Content-Length", str(len(body)))
        connection.endheaders(body)
        response = connection.getresponse()
        status, fields = response.status, dict(response.getheaders())
        data = response.read()
        whole = True
        connection.close()
    except (OSError, http.client.HTTPException) as error:
        data = data or repr(error).encode()[:80]
    answer = Answer(status, fields, data, whole, request)
    record.write(f"client: {request} {method} {path} at {machine.name}: {answer}")
    return answer


def send_until_served(record, machines, method, path, headers, body=b"", deadline=3.0, tries=3):
    """Sends as the pages' clients do: again, at other machines, after a promise that the request has not run."""
    answer = None
    for attempt in range(tries):
        answer = send(record, machines[attempt % len(machines)], method, path, headers, body, deadline)
        if answer.status not in (429, 503, 408, 421, 0):
            return answer
        time.sleep(min(float(answer.headers.get("Retry-After", 0.1)), 1.0))
    return answer


CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "review", "host": HOST, "pathPrefix": "/lohu930/", "kind": "streaming", "timeoutMs": 3000,
            "targetLatencyMs": 200, "priority": 1, "service": "lending-agents", "maxAttempts": 2, "retained": True,
            "retentionS": 60.0, "sessionAffinity": True, "resumable": False,
        }
    ],
    "services": [
        {
            "name": "lending-agents", "healthPath": "/health", "connectionLimit": 170,
            "engine": {"slots": 16, "kvCacheTokens": 513719, "tokensPerEvent": 30},
        }
    ],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
}


def turn_headers(program, previous=None, budget=4608):
    headers = {
        "X-Program-Id": program, "X-Session-Id": program + "0", "X-Program-Deadline-Ms": "9000",
        "X-Token-Budget": str(budget), "X-Token-Usage": "1840,300", "X-Model": "m",
        "X-Prompt-Prefix": f"5c1e07a2:800,{program}:1040",
    }
    if previous:
        headers["X-Previous-Turn"] = previous
    return headers


def run_case(folder, case, trouble):
    """Runs a case function with a record and a temporary folder; exits with its result, or with 2 if it couldn't run."""
    os.chdir(ROOT)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder)
    record.write(f"trouble: {trouble}")
    work = tempfile.mkdtemp(prefix="review-")
    deployments = []

    def make(**arguments):
        deployment = Deployment(record, work, **arguments)
        deployments.append(deployment)
        return deployment

    code = 2
    try:
        code = case(record, make, trouble)
    except BaseException as error:  # also an interrupt ends the processes
        record.write(f"the case could not run: {error!r}")
        if not isinstance(error, (SystemExit, KeyboardInterrupt)):
            import traceback

            traceback.print_exc()
    finally:
        for deployment in deployments:
            deployment.stop()
        if os.environ.get("KEEP"):
            print(work)
        else:
            shutil.rmtree(work, ignore_errors=True)
    print({0: "held", 1: "broken"}.get(code, "could not run; the last record: " + record.last))
    record.write({0: "the rule held", 1: "the rule was broken"}.get(code, "the case could not run"))
    sys.stdout.flush()
    os._exit(code)
