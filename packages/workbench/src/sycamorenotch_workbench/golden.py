"""Regenerates the records of the golden sessions: ``make golden``."""

from __future__ import annotations

from pathlib import Path

from absl import app
from absl import flags

from sycamorenotch_kernel import import_private_modules
from sycamorenotch_kernel import load_plugins
from sycamorenotch_workbench._golden_record import golden_sessions
from sycamorenotch_workbench._golden_record import record

GOLDEN_FILES = Path(__file__).parents[4] / "testing" / "workbench" / "golden"

OUTPUT = flags.DEFINE_string("output", str(GOLDEN_FILES), "Directory of the records.")


def main() -> None:
    """Write one file per session."""
    app.run(_run)


def _run(argv: list[str]) -> None:
    load_plugins()
    import_private_modules("sycamorenotch_workbench")
    folder = Path(OUTPUT.value)
    folder.mkdir(parents=True, exist_ok=True)
    for entry in golden_sessions:
        text = record(entry.name)
        (folder / f"{entry.name}.txt").write_text(text)
        print(f"{entry.name}: {len(text.splitlines())} lines")


if __name__ == "__main__":
    main()
