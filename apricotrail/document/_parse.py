"""Parsing and checking of a document: all problems at once."""

import re
import tomllib

from returns.result import Failure, Result, Success

from apricotrail.document._model import (
    SCHEME_COUNT,
    Document,
    Names,
    Objectives,
    Service,
    Target,
    Team,
    Zone,
)
from apricotrail.document._reader import Bounds, Problems, TableReader
from apricotrail.errors import ErrorKind, Problem
from apricotrail.names import (
    ID_SCHEME,
    NameTable,
    find_id_fault,
    find_name_fault,
    normalize_name,
    suggest,
)

__all__ = ["MAX_DOCUMENT_BYTES", "parse_document"]

MAX_DOCUMENT_BYTES = 8 * 1024 * 1024

_DEADLINE_MS = Bounds(1, 3_600_000)
_TASKS = Bounds(1, 10_000)
_BODY_BYTES = Bounds(1, 16 * 1024 * 1024)
_SHARE = Bounds(0.0, 1.0)
_TEAM_SHARE = Bounds(0.001, 1_000_000.0)
_SYNTAX_PLACE = re.compile(r" \(at (?:line (?P<line>\d+), column \d+|end of document)\)$")


def parse_document(text: bytes) -> Result[Document, tuple[Problem, ...]]:
    """Parse a document and check all of it.

    Parameters
    ----------
    text : bytes
        TOML 1.0 in UTF-8.

    Returns
    -------
    Result
        The document, or every problem found, by line. A message begins with the line and the path.

    Examples
    --------
    >>> print(parse_document(b'schemes = ["place"]').failure()[0].message)
    line 1, schemes: 1 naming schemes are given.
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        message = f"the document has {len(text):,} bytes."
        remedy = f"Keep it within {MAX_DOCUMENT_BYTES:,} bytes."
        return Failure((Problem(ErrorKind.TOO_LARGE, message, remedy),))
    try:
        decoded = text.decode()
        values = tomllib.loads(decoded)
    except (ValueError, RecursionError) as error:
        return Failure((_describe_syntax(text, error),))
    problems = Problems(decoded)
    document = _read_document(TableReader(values, (), problems))
    found = problems.list()
    return Failure(found) if found else Success(document)


def _describe_syntax(text: bytes, error: Exception) -> Problem:
    if isinstance(error, UnicodeDecodeError):
        line = text[: error.start].count(b"\n") + 1
        message = f"line {line}: the text is not UTF-8."
        return Problem(ErrorKind.MALFORMED, message, "Save the file as UTF-8.")
    if isinstance(error, RecursionError):
        return Problem(ErrorKind.MALFORMED, "line 1: nested too deeply.", "Nest three levels.")
    place = _SYNTAX_PLACE.search(str(error))
    line = int(place["line"]) if place and place["line"] else text.count(b"\n") + 1
    cause = _SYNTAX_PLACE.sub("", str(error))
    message = f"line {line}: not TOML: {cause}."
    return Problem(ErrorKind.MALFORMED, message, "Correct the syntax at or before this line.")


def _read_document(reader: TableReader) -> Document:
    schemes = _read_schemes(reader)
    services = _read_section(reader, "services", schemes, _read_service)
    zones = _read_section(reader, "zones", schemes, _read_zone)
    targets = _read_section(reader, "targets", schemes, _read_target)
    teams = _read_teams(reader)
    reader.refuse_unknown_keys()
    targets = _resolve_targets(reader.problems, schemes, services, zones, targets)
    return Document(schemes, services, zones, targets, teams)


def _read_schemes(reader: TableReader) -> tuple[str, ...]:
    schemes = reader.read_texts("schemes", required=True)
    path = ("schemes",)
    if schemes and len(schemes) != SCHEME_COUNT:
        message = f"{len(schemes)} naming schemes are given."
        reader.problems.add(path, message, f"Name {SCHEME_COUNT} schemes.")
    for scheme in schemes:
        fault = find_id_fault(scheme) or ("is reserved" if scheme == ID_SCHEME else None)
        if fault:
            reader.problems.add(path, f'"{scheme}" {fault}.', "Choose another scheme name.")
    if len(set(schemes)) != len(schemes):
        reader.problems.add(path, "a scheme is named twice.", "Give each scheme its own name.")
    return schemes


def _read_section(reader: TableReader, section: str, schemes: tuple[str, ...], read) -> dict:
    things = {}
    holders: dict[tuple[str, str], str] = {}
    for item_id, table in reader.read_tables(section).items():
        _check_id(table, item_id)
        names = _read_names(table, schemes)
        things[item_id] = read(item_id, names, table)
        table.refuse_unknown_keys()
        _check_names_free(table, names, item_id, holders)
    return things


def _check_id(table: TableReader, item_id: str) -> None:
    fault = find_id_fault(item_id)
    if fault:
        table.problems.add(table.path, f"the key {fault}.", "Change the key of the table.")


def _read_names(table: TableReader, schemes: tuple[str, ...]) -> Names:
    reader = table.read_table("names")
    names = reader.read_all_texts()
    if reader.is_empty():
        remedy = f'Write names = {{ {schemes[0] if schemes else "scheme"} = "..." }}.'
        table.problems.add(reader.path, "no name is given.", remedy)
    for scheme, name in names.items():
        path = (*reader.path, scheme)
        if schemes and scheme not in schemes:
            remedy = suggest(scheme, schemes)
            table.problems.add(path, "no such scheme.", remedy, ErrorKind.UNKNOWN_NAME)
        fault = find_name_fault(name, schemes)
        if fault:
            table.problems.add(path, f'"{name:.60}" {fault}.', "Choose another name.")
    return {scheme: normalize_name(name) for scheme, name in names.items()}


def _check_names_free(
    table: TableReader, names: Names, item_id: str, holders: dict[tuple[str, str], str]
) -> None:
    for scheme, name in names.items():
        holder = holders.setdefault((scheme, name), item_id)
        if holder == item_id:
            continue
        path = (*table.path, "names", scheme)
        message = f'"{name}" is the name of "{holder}" already.'
        table.problems.add(path, message, "Choose another name.", ErrorKind.CONFLICT)


def _read_service(item_id: str, names: Names, table: TableReader) -> Service:
    default = Service(item_id, names)
    objectives = _read_objectives(table.read_table("objectives"))
    return Service(
        item_id,
        names,
        table.read_integer("deadline_ms", default.deadline_ms, _DEADLINE_MS),
        table.read_integer("max_tasks", default.max_tasks, _TASKS),
        table.read_integer("max_body_bytes", default.max_body_bytes, _BODY_BYTES),
        table.read_integer("max_answer_bytes", default.max_answer_bytes, _BODY_BYTES),
        objectives,
    )


def _read_objectives(table: TableReader) -> Objectives:
    default = Objectives()
    objectives = Objectives(
        table.read_integer("latency_ms", default.latency_ms, _DEADLINE_MS),
        table.read_number("latency_share", default.latency_share, _SHARE),
        table.read_number("success", default.success, _SHARE),
    )
    table.refuse_unknown_keys()
    return objectives


def _read_zone(item_id: str, names: Names, table: TableReader) -> Zone:
    return Zone(item_id, names)


def _read_target(item_id: str, names: Names, table: TableReader) -> Target:
    return Target(item_id, names, table.read_text("service"), table.read_text("zone"))


def _read_teams(reader: TableReader) -> dict[str, Team]:
    teams = {}
    teams_by_caller: dict[str, str] = {}
    for team_id, table in reader.read_tables("teams").items():
        _check_id(table, team_id)
        share = table.read_number("share", Team(team_id).share, _TEAM_SHARE)
        callers = table.read_texts("callers")
        table.refuse_unknown_keys()
        teams[team_id] = Team(team_id, share, callers)
        for caller in callers:
            holder = teams_by_caller.setdefault(caller, team_id)
            if holder != team_id:
                message = f'the caller "{caller:.60}" is in the team "{holder}" already.'
                path = (*table.path, "callers")
                table.problems.add(path, message, "Keep it in one team.", ErrorKind.CONFLICT)
    return teams


def _resolve_targets(
    problems: Problems,
    schemes: tuple[str, ...],
    services: dict[str, Service],
    zones: dict[str, Zone],
    targets: dict[str, Target],
) -> dict[str, Target]:
    tables = {
        "service": NameTable("service", schemes, {key: it.names for key, it in services.items()}),
        "zone": NameTable("zone", schemes, {key: it.names for key, it in zones.items()}),
    }
    known: dict[tuple[str, str], Result[str, Problem]] = {
        (kind, ""): Success("") for kind in tables
    }
    resolved = {}
    for target_id, target in targets.items():
        ids = {}
        for kind, table in tables.items():
            reference = getattr(target, kind)
            if (kind, reference) not in known:
                known[kind, reference] = table.resolve(reference)
            result = known[kind, reference]
            ids[kind] = result.value_or("")
            if isinstance(result, Failure):
                problem = result.failure()
                path = ("targets", target_id, kind)
                problems.add(path, problem.message, problem.remedy, problem.kind)
        resolved[target_id] = target._replace(**ids)
    return resolved
