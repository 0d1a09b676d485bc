"""Size and CPU time of peer messages and configuration changes."""

from __future__ import annotations

from collections.abc import Iterator

from sycamorenotch_daemon._document_codec import decode_document
from sycamorenotch_daemon._peer_codec import decode_message
from sycamorenotch_daemon._peer_codec import encode_message
from sycamorenotch_documents import parse_environment
from sycamorenotch_kernel import Heartbeat
from sycamorenotch_kernel import InstanceId
from sycamorenotch_kernel import ListingPush
from sycamorenotch_kernel import MemberState
from sycamorenotch_kernel import Rumour
from sycamorenotch_policies import ConfigurationHistory
from sycamorenotch_policies import ConfigurationText
from sycamorenotch_workbench._example import EXAMPLES
from sycamorenotch_workbench._slopes_common import microseconds
from sycamorenotch_workbench._slopes_memory import fleet_entries

INCARNATION = 1_800_000_000_000
EXTRA_BLOCKS = (0, 500, 2_000)
BLOCKS_ANCHOR = "client_blocks = 127.0.0.0/8,"


def measure_messages() -> Iterator[str]:
    """Yield lines of output for heartbeats, instance lists and configurations."""
    yield from map(_measure_heartbeat, (0, 2, 6))
    for count in (140, 700, 1_400):
        entries = fleet_entries(count)
        full = len(encode_message(ListingPush(b"", b"x" * 8, entries)))
        change = len(encode_message(ListingPush(b"x" * 8, b"x" * 8, entries[:1])))
        yield f"list of {count:>5}  full {full} B  one change {change} B"
    yield from map(_measure_change, EXTRA_BLOCKS)


def _measure_heartbeat(rumours: int) -> str:
    rumour_list = tuple(
        Rumour(InstanceId(f"entry-{i:04d}"), INCARNATION, MemberState.LIVE, 123_456)
        for i in range(rumours)
    )
    message = Heartbeat(True, INCARNATION, False, 123_456, b"x" * 8, rumour_list)
    frame = encode_message(message)
    encode_us = microseconds(lambda: encode_message(message), 2000)
    decode_us = microseconds(lambda: decode_message(frame), 2000)
    return (
        f"heartbeat with {rumours} rumours  {len(frame) + 4} B"
        f"  encode {encode_us:5.1f} us  decode {decode_us:5.1f} us"
    )


def _measure_change(extra_blocks: int) -> str:
    text = (EXAMPLES / "vatukoula.ini").read_text()
    blocks = "".join(f" 11.{i // 256}.{i % 256}.0/24," for i in range(extra_blocks))
    text = text.replace(BLOCKS_ANCHOR, BLOCKS_ANCHOR + blocks)
    old = ConfigurationText.of(1, text.encode())
    new = ConfigurationText.of(2, text.replace("cap = 10%", "cap = 12%").encode())
    history = ConfigurationHistory()
    history.add(old)
    history.add(new)
    push = history.make_push(1)
    full = history.make_push(0)
    assert push is not None and full is not None
    make_us = microseconds(lambda: history.make_push(1), 20)
    apply_us = microseconds(lambda: history.apply_push(push), 20)
    parse_us = microseconds(
        lambda: parse_environment(decode_document(new.text).text), 3
    )
    return (
        f"document of {len(new.text):>6} B  full push {len(encode_message(full))} B"
        f"  difference {len(encode_message(push))} B  make {make_us:6.0f} us"
        f"  apply {apply_us:5.0f} us  parse {parse_us / 1000:7.1f} ms"
    )
