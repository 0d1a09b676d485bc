"""Endpoints that drain an instance, an upstream or a data centre."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from expression import Error
from expression import Ok
from expression import Result

from sycamorenotch_daemon._document_endpoints import document_body
from sycamorenotch_daemon._document_store import DocumentStore
from sycamorenotch_daemon._instances import InstanceView
from sycamorenotch_daemon._node import Node
from sycamorenotch_daemon._operator_endpoints import OperatorRequest
from sycamorenotch_daemon._operator_endpoints import OperatorResult
from sycamorenotch_daemon._operator_endpoints import endpoint
from sycamorenotch_documents import InvalidFileError
from sycamorenotch_documents import parse_environment
from sycamorenotch_kernel import Drain
from sycamorenotch_kernel import DrainKind
from sycamorenotch_kernel import Environment
from sycamorenotch_kernel import ErrorKind
from sycamorenotch_kernel import Failure

# Two operators who drain different targets concurrently must both succeed.
CHANGE_ATTEMPTS = 5

Change = Callable[[tuple[Drain, ...]], tuple[Drain, ...]]


@endpoint("PUT", "/v1/drains/<environment>/<kind>/<name>")
async def drain(node: Node, req: OperatorRequest) -> OperatorResult:
    """Drain a target, so that it receives no new work."""
    target = _target(node, req)
    if target.is_error():
        return Error(target.error)

    def add(current: tuple[Drain, ...]) -> tuple[Drain, ...]:
        return (*_without(current, target.ok), target.ok)

    return await _apply_change(node, req, f"drain {_label(target.ok)}", add, target.ok)


@endpoint("DELETE", "/v1/drains/<environment>/<kind>/<name>")
async def undo_drain(node: Node, req: OperatorRequest) -> OperatorResult:
    """Remove a drain, so that its target receives new work again."""
    target = _target(node, req)
    if target.is_error():
        return Error(target.error)

    def remove(current: tuple[Drain, ...]) -> tuple[Drain, ...]:
        return _without(current, target.ok)

    return await _apply_change(
        node, req, f"undo drain {_label(target.ok)}", remove, None
    )


async def _apply_change(
    node: Node,
    req: OperatorRequest,
    description: str,
    change: Change,
    added: Drain | None,
) -> OperatorResult:
    name, store = req.arguments["environment"], DocumentStore(node)
    result: OperatorResult = Error(Failure(ErrorKind.CONFLICT, "too many conflicts"))
    for _ in range(CHANGE_ATTEMPTS):
        read_result = await store.read(name)
        if read_result.is_error():
            return Error(read_result.error)
        document = read_result.ok.document
        if added is not None:
            problem = _check_name(node, document.text, added)
            if problem is not None:
                return Error(problem)
        changed = replace(
            document,
            drains=change(document.drains),
            author=req.author,
            change=description,
            source="",
        )
        written = await store.write(name, changed, read_result.ok)
        result = written.map(lambda item: document_body(name, item))
        if result.is_ok() or result.error.kind is not ErrorKind.CONFLICT:
            return result
    return result


def _target(node: Node, req: OperatorRequest) -> Result[Drain, Failure]:
    try:
        kind = DrainKind(req.arguments["kind"])
    except ValueError:
        accepted = ", ".join(item.value for item in DrainKind)
        return Error(
            Failure(ErrorKind.BAD_REQUEST, f"unknown kind; accepted: {accepted}")
        )
    return Ok(Drain(kind, req.arguments["name"], req.author, node.clock.now()))


def _check_name(node: Node, text: str, target: Drain) -> Failure | None:
    try:
        environment = parse_environment(text)
    except InvalidFileError as exc:
        return Failure(ErrorKind.INVALID_DOCUMENT, str(exc))
    known = _known_names(node, environment, target.kind)
    if target.name in known:
        return None
    accepted = ", ".join(known) or "none"
    detail = f"there is no {target.kind.value} {target.name!r}; known: {accepted}"
    return Failure(ErrorKind.NOT_FOUND, detail)


def _known_names(
    node: Node, environment: Environment, kind: DrainKind
) -> tuple[str, ...]:
    match kind:
        case DrainKind.INSTANCE:
            view = node.require(InstanceView)  # type: ignore[type-abstract]
            return tuple(sorted(item.id for item in view.instances()))
        case DrainKind.UPSTREAM:
            return tuple(environment.workers)
        case DrainKind.DATA_CENTRE:
            regions = environment.regions.values()
            return tuple(name for region in regions for name in region.data_centres)


def _without(drains: tuple[Drain, ...], target: Drain) -> tuple[Drain, ...]:
    return tuple(d for d in drains if (d.kind, d.name) != (target.kind, target.name))


def _label(target: Drain) -> str:
    return f"{target.kind.value} {target.name}"
