"""Small environment document for randomised runs and golden sessions."""

from __future__ import annotations

REGIONS = ("west", "east", "north")

_HEADER = """\
[environment]
operator = Randomised run
[shift]
cap = 20%
window = 30s
[bounds]
answer_lifetime = 2s
leaving = 2s
drain = 10s
claim_lifetime = 1h
stale_after = 10s
cold_start = 5s
[rank urgent]
worth = 100
floor = 40%
deadline = 2s
[rank standard]
worth = 10
floor = 30%
deadline = 3s
[rank deferrable]
worth = 1
floor = 10%
deadline = 5s
[service lookup]
service_time = 10ms
answer_size = 4 kB
[service action]
service_time = 20ms
answer_size = 8 kB
[route urgent-lookup]
service = lookup
prefix = /urgent
methods = GET
rank = urgent
idempotent = yes
[route standard-lookup]
service = lookup
prefix = /standard
methods = GET
rank = standard
idempotent = yes
[route deferrable-lookup]
service = lookup
prefix = /deferrable
methods = GET
rank = deferrable
idempotent = yes
[route redemption]
service = action
prefix = /redemptions
methods = POST
rank = urgent
idempotent = no
"""

_REGION = """\
[region {name}]
data_centres = {name}-a
client_latency = 1ms
internal_latency = 1ms
client_blocks = 10.{index}.0.0/16
"""

_LINK = """\
[link {first}-{second}]
between = {first}, {second}
latency = 20ms
budget = 100 Mbit/s
"""

_WORKERS = """\
[workers {service}-{name}]
service = {service}
data_centre = {name}-a
addresses = 10.{index}.{offset}.1:80
slots = 4
connections = 60
connection_cost = 1ms
"""


def soak_document() -> str:
    """Return an environment document with three regions and two services."""
    numbered = list(enumerate(REGIONS, start=1))
    regions = [_REGION.format(name=name, index=index) for index, name in numbered]
    links = [
        _LINK.format(first=first, second=second)
        for number, first in enumerate(REGIONS)
        for second in REGIONS[number + 1 :]
    ]
    workers = [
        _WORKERS.format(service=service, name=name, index=index, offset=offset)
        for offset, service in ((100, "lookup"), (200, "action"))
        for index, name in numbered
    ]
    return "\n".join([_HEADER, *regions, *links, *workers])
