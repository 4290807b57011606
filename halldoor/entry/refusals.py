"""Refusals of orders, with what is known and what to do."""

from __future__ import annotations

from halldoor.core.errors import Ran, Reason, Refusal, refuse, refuse_unknown


def refuse_ticket(why: str) -> Refusal:
    """Refuse a ticket that never was one."""
    return refuse(
        Reason.BAD_TICKET, f"The ticket is not valid. {why} Get a new one.", retry_after_s=0.0
    )


def refuse_gone() -> Refusal:
    """Refuse a ticket whose issuing process ended: it took the outcome with it."""
    return refuse_unknown(
        Reason.ISSUER_GONE,
        "The entry process that issued this ticket ended. Look up whether the operation ran.",
    )


def refuse_forgotten() -> Refusal:
    """Refuse an id that was claimed here so long ago that its outcome is forgotten."""
    return refuse_unknown(
        Reason.TICKET_USED,
        "This operation id was used before and its outcome is forgotten. Look up whether it ran.",
    )


def refuse_unreachable(issuer: str) -> Refusal:
    """Refuse a ticket whose issuer can't be reached from here just now."""
    return refuse_unknown(
        Reason.ISSUER_GONE,
        f"Entry {issuer}, which issued the ticket, can't be reached. Repeat the same call.",
        retry_after_s=2.0,
    )


def refuse_platform_down(*, is_order: bool) -> Refusal:
    """Refuse an own id that can't be checked."""
    if is_order:
        # This call was sent nowhere, but whether an earlier one with the id was can't be known.
        return refuse_unknown(
            Reason.PLATFORM_DOWN,
            "The platform can't be asked whether this id ran before; this call was sent nowhere. "
            "Repeat the same id, or for a new operation get a ticket without an id.",
            retry_after_s=2.0,
        )
    message = "The platform can't be asked about this id. Come back, or ask without an id."
    return refuse(Reason.PLATFORM_DOWN, message, retry_after_s=2.0)


def refuse_with_ticket(ticket: str) -> Refusal:
    """Refuse a repeat by id after an attempt that did not run."""
    return Refusal(
        Reason.TICKET_USED,
        Ran.NOT_RUN,
        "The first attempt did not run. Send the ticket in Halldoor-Ticket to try again.",
        0.5,
        ticket,
    )
