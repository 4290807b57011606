"""Requests through two halls of real processes: look-up, read, order, upload and explain."""

import json
from hashlib import sha256

from halldoor.standins.target import make_bytes

SERVICE = "/s/decks"


class TestPath:
    def test_lookup_lists_the_own_hall_first(self, two_halls):
        answer = two_halls.get_json("b1-e1", "/v1/lookup?service=decks")
        assert {e["name"] for e in answer["entries"][:2]} == {"b1-e1", "b1-e2"}
        assert answer["max_age_s"] > 0

    def test_read_returns_whole_body(self, two_halls):
        response = two_halls.call("a1-e1", f"{SERVICE}/read/x?size=300000&seed=s")
        assert response.status == 200
        assert response.data == make_bytes("s", 300_000)
        assert response.headers["Halldoor-Ran"] == "ran"

    def test_repeated_order_at_another_entry_returns_first_answer(self, two_halls):
        ticket = two_halls.get_ticket("a1-e1")
        for _ in range(2):
            response = two_halls.call(
                "a1-e2",
                f"{SERVICE}/order",
                method="POST",
                body=b"deck 5",
                headers={"Halldoor-Ticket": ticket},
            )
            assert response.status == 200
            assert json.loads(response.data)["size"] == 6
        assert response.headers["Halldoor-Repeated"] == "yes"

    def test_upload_streams_across_halls(self, two_halls):
        body = bytes(range(256)) * 20_000
        for target in ("a1-t1", "a1-t2"):
            two_halls.control(target, shed_share=1.0)
        try:
            response = two_halls.call("a1-e1", f"{SERVICE}/upload", method="PUT", body=body)
        finally:
            for target in ("a1-t1", "a1-t2"):
                two_halls.control(target, shed_share=0.0)
        # A streamed body can't be sent twice.  The shed marker proves that the request did not run.
        assert response.headers["Halldoor-Ran"] == "not run"
        response = two_halls.call("a1-e1", f"{SERVICE}/upload", method="PUT", body=body)
        assert json.loads(response.data)["sha256"] == sha256(body).hexdigest()

    def test_explain_by_record_or_id_works_at_any_entry(self, two_halls):
        response = two_halls.call("a1-e1", f"{SERVICE}/read/x")
        record = response.headers["Halldoor-Decision-Record"]
        explanation = two_halls.get_json("b1-e2", f"/v1/explain?record={record}")
        assert explanation["decision"]["id"] == response.headers["Halldoor-Decision"]
        by_id = two_halls.get_json("b1-e2", f"/v1/explain?id={explanation['decision']['id']}")
        assert by_id["sentences"] == explanation["sentences"]
