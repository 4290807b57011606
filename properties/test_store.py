"""Property: accepted changes are never lost, applied twice or reverted, whatever writes fail."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from halldoor.core.errors import ConflictError, HalldoorError, PlatformError
from halldoor.core.steering.configuration import Configuration
from halldoor.core.steering.operation import edit_drain
from halldoor.keyvalue.base import (
    Platform,
    UncertainWriteError,
    Value,
    WriteConflictError,
)
from halldoor.keyvalue.store import Change, ConfigurationStore
from halldoor.standins.sample import make_configuration


class FakePlatform(Platform):
    """Key-value service in memory; `script` holds the fault of each following write."""

    def __init__(self):
        self.values = {}
        self.script = []
        self.before_write = lambda key: None

    def get(self, key):
        return self.values.get(key)

    def put(self, key, data, *, expected, lease=""):
        self.before_write(key)
        fault = self.script.pop(0) if self.script else "fine"
        current = self.values.get(key, Value(b"", 0)).version
        if fault == "lost before":
            raise UncertainWriteError("lost", remedy="read back")
        if expected is not None and expected != current:
            raise WriteConflictError("conflict", remedy="again")
        self.values[key] = Value(data, current + 1)
        if fault == "lost after":
            raise UncertainWriteError("lost", remedy="read back")
        return current + 1

    def watch(self, key, *, after, timeout_s):
        raise NotImplementedError

    def create_lease(self, ttl_s):
        raise NotImplementedError

    def renew_lease(self, lease):
        raise NotImplementedError

    def end_lease(self, lease):
        raise NotImplementedError

    def list_hosts(self):
        return []


# "lost before": the write is lost on its way; "lost after": it takes effect, its answer is lost.
FAULTS = st.lists(st.sampled_from(["fine", "fine", "lost before", "lost after"]), max_size=6)
TARGETS = ["a1-t1", "a1-t2"]


class Operators(RuleBasedStateMachine):
    """Two operators drain targets concurrently, and send changes without an answer again."""

    @initialize()
    def start(self):
        """Commit a first configuration; each operator has a store with its own cache."""
        self.platform = FakePlatform()
        self.stores = [ConfigurationStore(self.platform, pause=lambda s: None) for _ in range(2)]
        first = Configuration.from_data(make_configuration(halls={"a1": 1}))
        self.stores[0].commit(lambda _: first, Change("first", "ops", "apply"))
        self.wanted = dict.fromkeys(TARGETS, False)
        self.accepted = ["first"]
        self.revision = 1
        self.number = 0

    def drain(self, store, target, leaving, change_id):
        """Commit a drain, or the end of one, through one operator's store."""
        return self.stores[store].commit(
            lambda s: edit_drain(s.configuration, target, is_leaving=leaving),
            Change(change_id, f"op{store}", "drain"),
        )

    @rule(
        operator=st.integers(0, 1),
        target_name=st.sampled_from(TARGETS),
        leaving=st.booleans(),
        faults=FAULTS,
    )
    def change(self, operator, target_name, leaving, faults):
        """Commit a change while writes fail, sending it again after each failure."""
        self.number += 1
        change_id = f"c{self.number}"
        self.platform.script = list(faults)
        for _ in range(8):
            try:
                self.drain(operator, target_name, leaving, change_id)
                break
            except PlatformError:
                continue
        self.platform.script = []
        self.drain(operator, target_name, leaving, change_id)
        self.wanted[target_name] = leaving
        self.accepted.append(change_id)

    @rule(operator=st.integers(0, 1))
    def race(self, operator):
        """Let the other operator commit just before this operator's head is written."""
        self.number += 1
        mine, other = f"c{self.number}", f"o{self.number}"

        def interfere(key):
            """Commit the other operator's change before the first write of the head."""
            if key == "config/head":
                self.platform.before_write = lambda key: None
                self.drain(1 - operator, TARGETS[1], True, other)

        self.platform.before_write = interfere
        self.drain(operator, TARGETS[0], True, mine)
        self.wanted = dict.fromkeys(TARGETS, True)
        self.accepted += [other, mine]

    @rule(operator=st.integers(0, 1), change=st.data())
    def repeat(self, operator, change):
        """Send an accepted change again, which must change nothing."""
        change_id = change.draw(st.sampled_from(self.accepted))
        before = self.platform.values["config/head"]
        self.drain(operator, TARGETS[0], not self.wanted[TARGETS[0]], change_id)
        assert self.platform.values["config/head"] == before

    @rule(operator=st.integers(0, 1))
    def apply_against_an_old_revision(self, operator):
        """Apply with revision 1 as the base after later changes, which must be a conflict."""
        if self.revision < 2:
            return
        with pytest.raises(ConflictError, match="in force"):
            self.stores[operator].commit(
                lambda s: s.configuration, Change("stale", "ops", "apply"), base=1
            )

    @invariant()
    def every_accepted_change_is_committed_exactly_once(self):
        """Compare the configuration and the audit trail with the changes that were accepted."""
        if not hasattr(self, "platform"):
            return
        stored = ConfigurationStore(self.platform).read()
        leaving = {t.name: t.leaving for t in stored.configuration.targets}
        assert {t: leaving[t] for t in TARGETS} == self.wanted
        trail = [r.change_id for r in self.stores[0].list_audit(stored.head, limit=1000)]
        assert trail == list(reversed(self.accepted))
        assert stored.revision >= self.revision
        assert stored.revision == len(self.accepted)
        self.revision = stored.revision


TestOperators = Operators.TestCase


def test_error_for_unknown_target_names_the_remedy():
    configuration = Configuration.from_data(make_configuration(halls={"a1": 1}))
    with pytest.raises(HalldoorError, match="halldoor status"):
        edit_drain(configuration, "nothing", is_leaving=True)


@pytest.mark.parametrize("fault", ["lost after", "lost before"])
def test_apply_with_a_base_whose_answer_was_lost_is_no_conflict(fault):
    """The head is read back, so that an operator gets no conflict with their own change."""
    platform = FakePlatform()
    store = ConfigurationStore(platform, pause=lambda s: None)
    first = Configuration.from_data(make_configuration(halls={"a1": 1}))
    store.commit(lambda _: first, Change("first", "ops", "apply"))
    drained = edit_drain(first, "a1-t1", is_leaving=True)
    # Two parts, the changed targets and the audit record, are written before the head.
    platform.script = ["fine", "fine", fault]
    change = Change("second", "ops", "apply")
    assert store.commit(lambda _: drained, change, base=1).revision == 2
    assert store.read().revision == 2
