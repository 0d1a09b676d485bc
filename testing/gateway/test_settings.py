"""Tests of the gateway's settings and of their deployment template."""

from __future__ import annotations

import re
from datetime import timedelta
from pathlib import Path
from random import Random

import pytest

from sycamorenotch_documents import InvalidFileError
from sycamorenotch_gateway import GatewayNode
from sycamorenotch_gateway import parse_gateway_settings
from sycamorenotch_gateway._reload import SettingsWatch
from sycamorenotch_kernel import EventList
from sycamorenotch_kernel import Resources
from sycamorenotch_kernel import load_plugins

TEMPLATE = Path(__file__).parents[2] / "deploy" / "gateway.ini.template"
FIELDS = {
    "node_name": "frontend-a-1",
    "region": "west",
    "zone": "a",
    "ip_address": "10.1.0.1",
    "internal_port_range.0": "7200",
    "listen.frontend": "10.1.0.1:8381",
    "listen.ready": "10.1.0.1:8388",
    "listen.directory": "10.1.0.1:8383",
    "platform.address": "10.2.0.1:8384",
    "limits.cpu_share": "0.717",
    "limits.cores": "3",
    "limits.link_mbps": "200.0",
    "limits.memory_mb": "552",
    "limits.max_file_descriptors": "8192",
    "bounds.grace": "6s",
    "bounds.ttl_max": "5s",
    "bounds.stability_window": "4000ms",
    "bounds.retry_budget_ratio": "0.2",
    "bounds.budget_window": "10s",
    "bounds.budget_extra_retries": "60",
}
# Where a deployment has customers with keys and quotas.
CUSTOMER_FIELDS = {
    "bounds.fail_closed": "true",
    "bounds.revocation": "5000ms",
    "bounds.quota_window": "5s",
    "bounds.quota_overage": "0.1",
    "bounds.quota_slack": "20",
}
ZONES = {"a": "west", "b": "east"}

# Plug-ins register sections of the settings.
load_plugins()


def render(**changes: str) -> str:
    fields = {**FIELDS, **changes}
    tables = {
        "zones": ZONES,
        **{
            table: {
                name.partition(".")[2]: value
                for name, value in fields.items()
                if name.startswith(table + ".")
            }
            for table in ("bounds", "limits")
        },
    }

    def fill_section(found: re.Match[str]) -> str:
        return "".join(
            found.group(2).replace("{{@}}", name).replace("{{.}}", value)
            for name, value in tables[found.group(1)].items()
        )

    text = re.sub(
        r"\{\{#([a-z]+)\}\}\n(.*?)\{\{/\1\}\}\n",
        fill_section,
        TEMPLATE.read_text(),
        flags=re.S,
    )
    return re.sub(r"\{\{([^}]*)\}\}", lambda found: fields[found.group(1)], text)


def test_template_gives_valid_settings() -> None:
    settings = parse_gateway_settings(render())
    assert settings.instance == "frontend-a-1"
    assert settings.placement.region_of("b") == "east"
    assert settings.gossip == "10.1.0.1:7200"
    assert settings.resources == Resources(pytest.approx(2.151), 200.0)
    assert settings.bounds.grace == timedelta(seconds=6)
    assert settings.bounds.retry_ratio == 0.2
    assert settings.bounds.stability_window == timedelta(seconds=4)
    assert settings.machine.memory_mb == 552
    assert settings.machine.descriptors == 8192
    assert not settings.bounds.fail_closed


# Without the option, nothing changes for services whose workers state no slowdown.
def test_choice_of_workers_is_automatic_unless_set() -> None:
    text = render()
    assert parse_gateway_settings(text).worker_choice == "automatic"
    text = text.replace("[platform]", "[platform]\nworker_choice = affinity")
    assert parse_gateway_settings(text).worker_choice == "affinity"


def test_template_gives_bounds_of_customers_where_a_deployment_has_them() -> None:
    bounds = parse_gateway_settings(render(**CUSTOMER_FIELDS)).bounds
    assert bounds.fail_closed
    assert bounds.revocation == bounds.quota_window == timedelta(seconds=5)
    assert (bounds.quota_overage, bounds.quota_slack) == (0.1, 20)


@pytest.mark.parametrize(
    ("field", "value", "location"),
    [
        ("listen.frontend", "nowhere", "[listen] callers"),
        ("bounds.grace", "6", "[bounds] grace"),
        ("bounds.retry_budget_ratio", "-1", "[bounds] retry_ratio"),
        ("region", "", "[instance] region"),
    ],
)
def test_invalid_value_is_reported_with_its_section_and_option(
    field, value, location
) -> None:
    with pytest.raises(InvalidFileError, match=re.escape(location)):
        parse_gateway_settings(render(**{field: value}))


@pytest.fixture
def watched(tmp_path):
    path = tmp_path / "gateway.ini"
    path.write_text(render())
    node = GatewayNode(
        settings=parse_gateway_settings(path.read_text()),
        reactor=None,
        clock=lambda: 0.0,
        started=1,
        random=Random(1),
        sink=EventList(),
        feed=None,
        dialect=None,
        processor_clock=lambda: 0.0,
    )
    return path, node, SettingsWatch(node, path)


def test_changed_settings_are_applied_after_a_reload(watched) -> None:
    path, node, watch = watched
    path.write_text(render(**{"bounds.grace": "9s"}))
    watch.reload()
    assert node.settings.bounds.grace == timedelta(seconds=9)


def test_settings_in_force_stay_when_the_new_file_is_invalid(watched) -> None:
    path, node, watch = watched
    path.write_text(render(**{"bounds.grace": "soon"}))
    watch.reload()
    assert node.settings.bounds.grace == timedelta(seconds=6)
    assert [event.name for event in node.sink.events] == ["gateway.settings-invalid"]


def test_listeners_keep_their_addresses_over_a_reload(watched) -> None:
    path, node, watch = watched
    path.write_text(render(**{"listen.frontend": "10.1.0.1:9999"}))
    watch.reload()
    assert node.settings.callers == "10.1.0.1:8381"
