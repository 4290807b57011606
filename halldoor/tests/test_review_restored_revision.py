"""The store's revision is lower than the own one: it was restored, and does not state its era."""

from __future__ import annotations

from halldoor.core.targets.proofs import StateProof
from halldoor.core.targets.withdrawal import StoreView


def test_lower_revision_of_a_restored_store_proves_the_state_before():
    """A linearizable answer can't name a revision below one that was read before the call."""
    proof = StateProof()
    proof.record_update(StoreView("", 500), 1.0)
    proof.record_revision(StoreView("", 401), 9.0)
    assert proof.proven_at <= 1.0
