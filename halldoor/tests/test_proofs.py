"""The moment up to which an entry's state of the store is proven to be complete."""

from __future__ import annotations

import math

from halldoor.core.targets.proofs import StateProof
from halldoor.core.targets.withdrawal import StoreView


def make_proof(revision=5, proven_at=1.0):
    proof = StateProof()
    proof.record_update(StoreView("0", revision), proven_at)
    return proof


class TestRevisionOfTheStore:
    def test_reached_revision_proves_the_state_up_to_the_call(self):
        proof = make_proof()
        proof.record_revision(StoreView("0", 5), 3.0)
        assert proof.proven_at == 3.0

    def test_later_revision_proves_it_once_it_is_reached(self):
        proof = make_proof()
        proof.record_revision(StoreView("0", 7), 3.0)
        assert proof.proven_at == 1.0
        proof.record_update(StoreView("0", 6), 2.0)
        assert proof.proven_at == 2.0
        proof.record_update(StoreView("0", 7), 2.5)
        assert proof.proven_at == 3.0

    def test_revision_of_another_copy_proves_nothing(self):
        proof = make_proof()
        proof.record_revision(StoreView("1", 4), 3.0)
        assert proof.proven_at == 1.0
        proof.record_update(StoreView("1", 3), 0.5)
        assert proof.proven_at == 0.5

    def test_lower_revision_of_a_restored_store_proves_the_state_before(self):
        """Regression: such a store may not state its era, and the proof went on growing."""
        proof = make_proof()
        proof.record_revision(StoreView("0", 4), 9.0)
        assert proof.proven_at == 1.0

    def test_change_that_arrives_during_the_call_spoils_its_proof(self):
        proof = make_proof()
        known = proof.view
        proof.record_update(StoreView("0", 6), 1.0)
        proof.record_revision(StoreView("0", 5), 9.0, known=known)
        assert proof.proven_at == 9.0

    def test_restored_store_withdraws_the_proof(self):
        proof = make_proof()
        proof.withdraw()
        assert proof.proven_at == -math.inf


class TestNotices:
    def test_state_is_behind_until_it_is_proven_later_than_the_notice(self):
        proof = make_proof()
        proof.record_announcement(StoreView("0", 9), 2.0)
        assert proof.is_behind
        proof.record_update(StoreView("0", 6), 1.9)
        assert proof.is_behind
        proof.record_update(StoreView("0", 6), 2.0)
        assert not proof.is_behind

    def test_state_that_reached_the_notice_is_not_behind(self):
        proof = make_proof(revision=9)
        proof.record_announcement(StoreView("0", 9), 2.0)
        assert not proof.is_behind
