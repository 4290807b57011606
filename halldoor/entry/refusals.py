"""Refusals of orders: whether the order may have run, and what the caller should do."""

from __future__ import annotations

from halldoor.core.errors import Ran, Reason, Refusal, refuse, refuse_unknown


def refuse_ticket(why: str) -> Refusal:
    """Refuse an invalid ticket."""
    return refuse(
        Reason.BAD_TICKET, f"The ticket is not valid. {why} Get a new one.", retry_after_s=0.0
    )


def refuse_stopped_issuer() -> Refusal:
    """Refuse a ticket whose issuing process has stopped: its record of the outcome is lost."""
    return refuse_unknown(
        Reason.ISSUER_GONE,
        "The entry process that issued this ticket ended. Look up whether the operation ran.",
    )


def refuse_dropped_outcome() -> Refusal:
    """Refuse an id claimed by this process whose outcome has been removed from the ledger."""
    return refuse_unknown(
        Reason.TICKET_USED,
        "This operation id was used before and its outcome is forgotten. Look up whether it ran.",
    )


def refuse_unreachable(issuer: str) -> Refusal:
    """Refuse a ticket whose issuer can't be reached now."""
    return refuse_unknown(
        Reason.ISSUER_GONE,
        f"Entry {issuer}, which issued the ticket, can't be reached. Repeat the same call.",
        retry_after_s=2.0,
    )


def refuse_platform_down(*, is_order: bool) -> Refusal:
    """Refuse a caller's own id while the platform, which stores the claims, can't be reached."""
    if is_order:
        # This call was sent to no target, but an earlier call with the same id may have been.
        return refuse_unknown(
            Reason.PLATFORM_DOWN,
            "The platform can't be asked whether this id ran before; this call was sent nowhere. "
            "Repeat the same id, or for a new operation get a ticket without an id.",
            retry_after_s=2.0,
        )
    message = "The platform can't be asked about this id. Retry later, or ask without an id."
    return refuse(Reason.PLATFORM_DOWN, message, retry_after_s=2.0)


def refuse_with_ticket(ticket: str) -> Refusal:
    """Refuse a repeat without a ticket after an attempt that did not run; include a ticket."""
    return Refusal(
        Reason.TICKET_USED,
        Ran.NOT_RUN,
        "The first attempt did not run. Send the ticket in Halldoor-Ticket to try again.",
        0.5,
        ticket,
    )
