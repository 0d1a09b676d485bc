"""Tests of the layering: which modules each package may import."""

from __future__ import annotations

import ast
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PACKAGES = ROOT / "packages"
PACKAGE_FOLDERS = {path.name: path for path in PACKAGES.iterdir()} | {
    "platform": ROOT / "platform"
}

ALLOWED_IMPORTS = {
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
PURE_PACKAGES = {"kernel", "policies"}
PURE_PACKAGE_LIBRARIES = {"expression", "automat"}
# Headers, paths and fields of the platform's API. Only the platform package may
# contain them, so that support for another platform changes no other package.
PLATFORM_NAMES = (
    *("x-attempt-id", "x-expected-instance", "x-remaining-milliseconds"),
    *("x-response-signature", "x-not-executed", "x-server-load", "x-affinity-key"),
    "server-limit",
    *("x-cold-milliseconds", "x-instance-id", "api/objects", "api/resolution"),
    *("api/readiness", "path_prefix", "traffic_split", "cold_remaining"),
    *("sticky_sessions", "home_regions", "resource_kind", "max_attempts"),
)
CONCURRENCY_MODULES = {
    "asyncio",
    "concurrent",
    "multiprocessing",
    "subprocess",
    "threading",
    "_thread",
}


def imported_modules(package: str) -> Iterator[tuple[Path, str]]:
    for path in sorted((PACKAGE_FOLDERS[package] / "src").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                yield from ((path, alias.name) for alias in node.names)
            elif isinstance(node, ast.ImportFrom):
                yield path, node.module or ""


@pytest.mark.parametrize("package", sorted(ALLOWED_IMPORTS))
def test_package_imports_only_lower_packages(package: str) -> None:
    allowed = {f"sycamorenotch_{name}" for name in ALLOWED_IMPORTS[package] | {package}}
    violations = [
        f"{path.name}: {module}"
        for path, module in imported_modules(package)
        if module.startswith("sycamorenotch_") and module.split(".")[0] not in allowed
    ]
    assert violations == []


@pytest.mark.parametrize("package", sorted(PURE_PACKAGES))
def test_package_imports_no_input_or_output_when_pure(package: str) -> None:
    allowed = sys.stdlib_module_names | PURE_PACKAGE_LIBRARIES
    codecs = {"json", "pickle", "marshal", "configparser", "socket", "selectors"}
    violations = [
        f"{path.name}: {module}"
        for path, module in imported_modules(package)
        if not module.startswith("sycamorenotch_")
        and (module.split(".")[0] not in allowed or module.split(".")[0] in codecs)
    ]
    assert violations == []


def test_kernel_imports_no_plugin_module() -> None:
    violations = [m for _, m in imported_modules("kernel") if m.endswith(".plugins")]
    assert violations == []


@pytest.mark.parametrize("package", sorted(PACKAGE_FOLDERS))
def test_package_imports_no_thread_process_or_second_loop(package: str) -> None:
    violations = [
        f"{path.name}: {module}"
        for path, module in imported_modules(package)
        if module.split(".")[0] in CONCURRENCY_MODULES
        or module == "twisted.internet.threads"
    ]
    assert violations == []


@pytest.mark.parametrize("package", sorted(set(PACKAGE_FOLDERS) - {"platform"}))
def test_package_contains_no_name_of_the_platform(package: str) -> None:
    violations = [
        f"{path.name}: {platform_name}"
        for path in sorted((PACKAGE_FOLDERS[package] / "src").rglob("*.py"))
        for platform_name in PLATFORM_NAMES
        if platform_name in path.read_text().lower()
    ]
    assert violations == []


def test_platform_folder_is_not_a_regular_package() -> None:
    # A package named "platform" at the root would shadow the standard library's
    # module.
    assert not (ROOT / "platform" / "__init__.py").exists()
