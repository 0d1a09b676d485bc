"""Generates the kernel's ``__init__.py`` from the public names of its modules."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

PACKAGE = Path("packages/kernel/src/sycamorenotch_kernel")
DOCSTRING = "Core types, registries, clock and port interfaces, and error kinds."


def public_names(module: Path) -> Iterator[str]:
    """Yield the public names that a module defines at its top level.

    Names of one letter are type variables and stay private.
    """
    for node in ast.parse(module.read_text()).body:
        match node:
            case ast.ClassDef(name=name) | ast.FunctionDef(name=name):
                pass
            case ast.AnnAssign(target=ast.Name(id=name)):
                pass
            case ast.Assign(targets=[ast.Name(id=name)]):
                pass
            case _:
                continue
        if not name.startswith("_") and len(name) > 1:
            yield name


def main() -> None:
    """Write the package's ``__init__.py``."""
    modules = sorted(PACKAGE.glob("_[a-z]*.py"))
    found = [(m.stem, name) for m in modules for name in public_names(m)]
    imports = (f"from {PACKAGE.name}.{module} import {name}" for module, name in found)
    exports = (f'    "{name}",' for name in sorted(name for _, name in found))
    lines = [f'"""{DOCSTRING}"""', "", "from __future__ import annotations", ""]
    lines += [*imports, "", "__all__ = [", *exports, "]", ""]
    (PACKAGE / "__init__.py").write_text("\n".join(lines))


if __name__ == "__main__":
    main()
