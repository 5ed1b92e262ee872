"""The JSON encoding of gossip packets, budget reports and stored grants.

The field names are part of the protocol between controllers. The code calls `about` the subject of a packet, `lacks`
shortfalls, and `loans` grants. A grant is a list of lender, number, borrower, backend, start time and amount.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from onyxhead.fleet.errors import MalformedPacketError, MalformedReportError
from onyxhead.fleet.packets import MAX_UPDATES, MemberUpdate, Packet, PacketKind, Status
from onyxhead.fleet.slow_start_budget import MAX_GRANTS, BudgetGrant, BudgetReport, Incarnation

PROTOCOL_VERSION = 1
"""The version of the gossip protocol; packets of any other version are rejected."""
MAX_UPDATES_READ = 4 * MAX_UPDATES
"""Further updates in a received packet are ignored."""
MAX_PACKET_NUMBER = 2**53
"""The greatest packet number and incarnation; every JSON parser reads whole numbers up to it exactly."""
MAX_REPORT_NUMBER = 2**62
"""Grant numbers and start times in a budget report must be below this number."""
MAX_AMOUNT = 1e9
MAX_NAME_IN_ERROR = 80

TO, SENDER, BOOT, KIND, NUMBER, ABOUT = "to", "sender", "boot", "kind", "number", "about"
UPDATES, VERSION = "updates", "version"
LACKS, LOANS = "lacks", "loans"
AMOUNT_DECIMALS = 6

_KINDS = frozenset(kind.value for kind in PacketKind)


def encode_packet(packet: Packet) -> dict[str, Any]:
    """Return the JSON object of a packet."""
    return {
        TO: packet.to,
        SENDER: packet.sender,
        BOOT: packet.boot,
        KIND: packet.kind.value,
        NUMBER: packet.number,
        ABOUT: packet.subject,
        UPDATES: [[update.name, int(update.status), update.incarnation, update.boot] for update in packet.updates],
        VERSION: PROTOCOL_VERSION,
    }


def decode_packet(value: Any) -> Packet:  # noqa: ANN401  any JSON value
    """Return the packet of a JSON object. Raise MalformedPacketError."""
    try:
        if value[VERSION] != PROTOCOL_VERSION:
            sender = str(value[SENDER])[:MAX_NAME_IN_ERROR]
            raise MalformedPacketError(
                f"{sender} uses gossip protocol version {value[VERSION]!r}, this member uses {PROTOCOL_VERSION}"
            )
        updates = tuple(
            MemberUpdate(str(name), Status(status), _packet_number(incarnation), str(boot))
            for name, status, incarnation, boot in value[UPDATES][:MAX_UPDATES_READ]
        )
        texts = [value[name] for name in (TO, SENDER, BOOT, KIND, ABOUT)]
        if not all(isinstance(text, str) for text in texts) or value[KIND] not in _KINDS:
            raise MalformedPacketError("not a gossip packet: a field has the wrong type, or the kind is unknown")
        to, sender, boot, kind, subject = texts
        return Packet(to, sender, boot, PacketKind(kind), _packet_number(value[NUMBER]), subject, updates)
    except MalformedPacketError:
        raise
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedPacketError(f"not a gossip packet: {error}") from error


def _packet_number(value: object) -> int:
    if type(value) is not int or not 0 <= value <= MAX_PACKET_NUMBER:
        raise ValueError(f"{value!r} is not a whole number from 0 to {MAX_PACKET_NUMBER}")
    return value


def encode_budget_report(report: BudgetReport) -> dict[str, Any]:
    """Return the JSON object of a budget report."""
    return {
        LACKS: [
            [incarnation.backend, incarnation.started_at, round(shortfall, AMOUNT_DECIMALS)]
            for incarnation, shortfall in sorted(report.shortfalls.items())
        ],
        LOANS: encode_grants(report.grants),
    }


def decode_budget_report(value: Any) -> BudgetReport:  # noqa: ANN401  any JSON value
    """Return the budget report of a JSON object. Raise MalformedReportError."""
    try:
        shortfalls = {
            Incarnation(str(backend), _report_number(started_at)): _amount(shortfall)
            for backend, started_at, shortfall in value[LACKS]
        }
        grants = tuple(
            BudgetGrant(
                str(lender),
                _report_number(number),
                str(borrower),
                Incarnation(str(backend), _report_number(started_at)),
                _amount(amount),
            )
            for lender, number, borrower, backend, started_at, amount in value[LOANS]
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedReportError(f"not a budget report: {error}") from error
    if len(shortfalls) > MAX_GRANTS or len(grants) > MAX_GRANTS:
        raise MalformedReportError(f"a budget report may have at most {MAX_GRANTS} shortfalls and {MAX_GRANTS} grants")
    return BudgetReport(shortfalls, grants)


def encode_grants(grants: Iterable[BudgetGrant]) -> list[list[Any]]:
    """Return grants in the form in which they are sent and stored."""
    return [
        [
            grant.lender,
            grant.number,
            grant.borrower,
            grant.incarnation.backend,
            grant.incarnation.started_at,
            grant.amount,
        ]
        for grant in grants
    ]


def decode_grants(value: Any) -> tuple[BudgetGrant, ...]:  # noqa: ANN401  any JSON value
    """Return the grants that `encode_grants` encoded. Raise MalformedReportError."""
    return decode_budget_report({LACKS: [], LOANS: value}).grants


def _report_number(value: object) -> int:
    if type(value) is not int or not 0 <= value < MAX_REPORT_NUMBER:
        raise MalformedReportError(
            f"{value!r} is not a grant number or start time: a whole number from 0 to below {MAX_REPORT_NUMBER}"
        )
    return value


def _amount(value: object) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value < MAX_AMOUNT:
        raise MalformedReportError(f"{value!r} is not an amount: a number from 0 to below {MAX_AMOUNT:g}")
    return float(value)
