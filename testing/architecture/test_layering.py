"""Tests of what each package may import."""

from __future__ import annotations

import ast
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PACKAGES = ROOT / "packages"
FOLDERS = {path.name: path for path in PACKAGES.iterdir()} | {
    "platform": ROOT / "platform"
}

OWN = {
    "kernel": set(),
    "policies": {"kernel"},
    "documents": {"kernel"},
    "transport": set(),
    "standins": {"kernel", "transport"},
    "daemon": {"kernel", "policies", "documents", "transport"},
    "cli": {"kernel", "documents", "transport"},
    "gateway": {"kernel", "policies", "documents", "transport"},
    "platform": {"kernel", "transport", "gateway"},
}
PURE = {"kernel", "policies"}
PURE_LIBRARIES = {"expression", "automat"}
# Names on the users' platform that only its folder may know.
PLATFORM_WORDS = (
    *("x-attempt-id", "x-expected-instance", "x-remaining-milliseconds"),
    *("x-response-signature", "x-not-executed", "x-server-load", "x-affinity-key"),
    *("x-cold-milliseconds", "x-instance-id", "api/objects", "api/resolution"),
    *("api/readiness", "path_prefix", "traffic_split", "cold_remaining"),
    *("sticky_sessions", "home_regions", "resource_kind", "max_attempts"),
)
FORBIDDEN = {
    "asyncio",
    "concurrent",
    "multiprocessing",
    "subprocess",
    "threading",
    "_thread",
}


def imported_modules(package: str) -> Iterator[tuple[Path, str]]:
    for path in sorted((FOLDERS[package] / "src").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                yield from ((path, alias.name) for alias in node.names)
            elif isinstance(node, ast.ImportFrom):
                yield path, node.module or ""


@pytest.mark.parametrize("package", sorted(OWN))
def test_package_imports_only_lower_packages(package: str) -> None:
    allowed = {f"sycamorenotch_{name}" for name in OWN[package] | {package}}
    wrong = [
        f"{path.name}: {module}"
        for path, module in imported_modules(package)
        if module.startswith("sycamorenotch_") and module.split(".")[0] not in allowed
    ]
    assert wrong == []


@pytest.mark.parametrize("package", sorted(PURE))
def test_package_imports_no_input_or_output_when_pure(package: str) -> None:
    allowed = sys.stdlib_module_names | PURE_LIBRARIES
    codecs = {"json", "pickle", "marshal", "configparser", "socket", "selectors"}
    wrong = [
        f"{path.name}: {module}"
        for path, module in imported_modules(package)
        if not module.startswith("sycamorenotch_")
        and (module.split(".")[0] not in allowed or module.split(".")[0] in codecs)
    ]
    assert wrong == []


def test_kernel_imports_no_plugin_module() -> None:
    wrong = [m for _, m in imported_modules("kernel") if m.endswith(".plugins")]
    assert wrong == []


@pytest.mark.parametrize("package", sorted(FOLDERS))
def test_package_imports_no_thread_process_or_second_loop(package: str) -> None:
    wrong = [
        f"{path.name}: {module}"
        for path, module in imported_modules(package)
        if module.split(".")[0] in FORBIDDEN or module == "twisted.internet.threads"
    ]
    assert wrong == []


@pytest.mark.parametrize("package", sorted(set(FOLDERS) - {"platform"}))
def test_package_knows_no_name_of_the_platform(package: str) -> None:
    wrong = [
        f"{path.name}: {word}"
        for path in sorted((FOLDERS[package] / "src").rglob("*.py"))
        for word in PLATFORM_WORDS
        if word in path.read_text().lower()
    ]
    assert wrong == []


def test_platform_is_no_regular_package_at_the_root() -> None:
    # It would shadow the standard library's module of the same name.
    assert not (ROOT / "platform" / "__init__.py").exists()
