"""A store machine is partitioned from the other zones: two homes of a tenant's quota hand it out side by side."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from deployment import HOST, PartitionProxy, Tool, read_message, run_case  # noqa: E402

# Length of the partition; the longest `core_cut` on `store` of the site is 5.6 s.
CUT_S = 5.6
# Times as many requests as usual while the tenant is hot; the site's largest is 7.5 (`hot_tenant`).
HOT_X = 7.5
HOT_S = 5.6
# Bounds of the site.
WINDOW_S, OVERSHOOT, TOLERANCE = 5.0, 0.1, 20
REVOCATION_MS = 5000
# The tenant's limit, and its usual requests a second at the two machines: a third of the limit.
RATE_PER_S = 120
USUAL_PER_S = {"frontend-bilbao-a-1": 13.0, "frontend-bilbao-b-1": 27.0}
TENANT = os.environ.get("TENANT", "tenant-3")
KEY = "key-1"
# Kept connections of the clients of one machine.
CONNECTIONS = 24
LEAD_S = 7.0


class Load:
    """Clients of one machine, with kept connections; each request is sent once."""

    def __init__(self, deployment, record, entry, host):
        self.deployment, self.record, self.entry, self.host = deployment, record, entry, host
        self.idle, self.sent, self.statuses, self.number = [], {}, {}, 0
        self.tasks = set()

    async def run(self, per_s, seconds):
        end = time.monotonic() + seconds
        due = time.monotonic()
        while due < end:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            task = asyncio.create_task(self.send())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            due += 1 / per_s

    async def send(self):
        self.number += 1
        request = f"{self.entry.name}-{self.number}"
        head = (
            f"GET /status/2f HTTP/1.1\r\nHost: {self.host}\r\nX-Request-Id: {request}\r\n"
            f"Authorization: Token {KEY}\r\nX-Deadline-Ms: 1000\r\n\r\n"
        )
        message = None
        try:
            async with asyncio.timeout(1.0):
                pair = self.idle.pop() if self.idle else await asyncio.open_connection(HOST, self.entry.clients)
                self.sent[request] = time.monotonic()
                pair[1].write(head.encode())
                message = await read_message(pair[0])
            if message is None or message[1].get("connection", "").lower() == "close":
                pair[1].close()
            elif len(self.idle) < CONNECTIONS:
                self.idle.append(pair)
            else:
                pair[1].close()
        except (OSError, asyncio.TimeoutError):
            pass
        status = int(message[0].split(" ")[1]) if message else None
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.record.file.write(f"{time.monotonic() - self.record.start:8.3f} s  {request}: {status}\n")


def most_in_a_window(pairs):
    """Returns the most requests that were both sent and run in some window, and when the window begins."""
    most, begin = 0, 0.0
    for start, _ in pairs:
        count = sum(1 for sent, ran in pairs if sent >= start and ran <= start + WINDOW_S)
        if count > most:
            most, begin = count, start
    return most, begin


async def case(deployment, record, trouble):
    deployment.organisations = [f"withdrawal-milliseconds = {REVOCATION_MS}", f"limit-window-seconds = {WINDOW_S}"]
    await deployment.store.start()
    route = {
        "name": "r-status", "host": deployment.ROUTE_HOST, "pathPrefix": "/status/", "kind": "idempotent",
        "timeoutMs": 1000, "targetLatencyMs": 60, "priority": 2, "service": "application-api", "maxAttempts": 2,
    }
    service = {"name": "application-api", "healthPath": "/health", "connectionLimit": 500, "protocol": "h1", "tls": False}
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    tenants = [{"name": TENANT, "apiKeys": [KEY], "priority": 2, "ratePerS": RATE_PER_S, "burst": 0}]
    await deployment.store.put(
        "op/config", {"version": 7, "routes": [route], "services": [service], "limits": limits, "tenants": tenants}
    )
    tools = [Tool(f"i-{zone}", "application-api", zone) for zone in ("bilbao-a", "bilbao-b")]
    for tool in tools:
        await tool.start(deployment.store)

    keepers = [deployment.machine("keeper", f"storage-{zone}-1", zone) for zone in ("bilbao-a", "bilbao-b", "bilbao-c")]
    entries = [deployment.machine("entry", f"frontend-{zone}-1", zone) for zone in ("bilbao-a", "bilbao-b")]
    path = PartitionProxy(f"{HOST}:{keepers[0].links}", deployment, (entries[0].name,))
    await path.start()
    keepers[0].advertised = path.address
    for machine in keepers + entries:
        machine.start()

    loads = [Load(deployment, record, entry, deployment.ROUTE_HOST) for entry in entries]

    async def serves(load):
        await load.send()
        return 200 in load.statuses

    for load in loads:
        await deployment.until(f"{load.entry.name} serves", lambda load=load: serves(load), 20)
    await asyncio.sleep(WINDOW_S + 1)

    async def at_all(factor, seconds):
        await asyncio.gather(*(load.run(USUAL_PER_S[load.entry.name] * factor, seconds) for load in loads))

    record.note("the tenant sends as usual")
    await at_all(1.0, LEAD_S)
    if trouble:
        record.note(f"{keepers[0].name} is partitioned from the other store machines and all machines of other zones")
        path.cut = True
    record.note(f"the tenant sends {HOT_X} times its usual")
    await at_all(HOT_X, HOT_S)
    if trouble:
        path.heal()
        record.note("the partition has healed")
    await at_all(1.0, 3.0)
    await asyncio.sleep(1.0)

    sent = {request: at for load in loads for request, at in load.sent.items()}
    runs = [run for tool in tools for run in tool.runs]
    for request, tenant, at in runs:
        record.file.write(f"{at - record.start:8.3f} s  a worker runs {request} for {tenant}\n")
    pairs = sorted((sent[request], at) for request, tenant, at in runs if tenant == TENANT)
    most, begin = most_in_a_window(pairs)
    allowed = RATE_PER_S * WINDOW_S * (1 + OVERSHOOT) + TOLERANCE
    for load in loads:
        at_entry = [at for request, tenant, at in runs if request.startswith(load.entry.name) and at >= begin]
        inside = sum(1 for at in at_entry if at <= begin + WINDOW_S)
        record.note(f"{load.entry.name}: answers {load.statuses}, {inside} runs in the fullest window")
    record.note(f"fullest window: {most} requests run from {begin - record.start:.3f} s on; allowed are {allowed:.0f}")
    return most > allowed


run_case(__file__, case)
