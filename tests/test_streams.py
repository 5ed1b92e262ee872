"""The stream protocol: framing at any cut, messages with and without meaning, orders and their cost."""

from __future__ import annotations

import random

import pytest

from onyxhead.fronts.streams import messages
from onyxhead.fronts.streams.messages import InvalidMessage, Known, Said
from onyxhead.fronts.streams.orders import Encoder, Level, Orders, Rows, rejected
from onyxhead.fronts.streams.resp import MOST, MOST_WORDS, FramingError, Machine, Words, framed
from onyxhead.policy.inputs import LoadReport

KNOWN = Known({"lookup": 0, "order": 1}, {"a": 0, "b": 1}, 20, {"s-1": None})


def words(text: str) -> Words:
    return tuple(text.encode().split(b" "))


def taken(machine: Machine, *pieces: bytes) -> list[Words]:
    found = []
    for piece in pieces:
        machine.receive(piece)
        while (message := machine.next()) is not None:
            found.append(message)
    return found


def test_messages_come_whole_at_any_cut() -> None:
    vary = random.Random(5)
    sent = [tuple(vary.randbytes(vary.choice((0, 1, 9, 300))) for _ in range(vary.randint(1, 9))) for _ in range(60)]
    stream = b"".join(map(framed, sent))
    for _ in range(40):
        cuts = sorted(vary.randrange(len(stream)) for _ in range(vary.choice((0, 3, 400))))
        pieces = [stream[a:b] for a, b in zip([0, *cuts], [*cuts, len(stream)], strict=True)]
        machine = Machine()
        assert taken(machine, *pieces) == sent and not machine.kept
    assert taken(Machine(), *(stream[n : n + 1] for n in range(len(stream)))) == sent


def test_a_message_of_nearly_a_mebibyte_is_taken_and_a_longer_one_refused_at_its_length() -> None:
    big = b"x" * (MOST - 100)
    assert taken(Machine(), framed([b"k", big])) == [(b"k", big)]
    machine = Machine()
    machine.receive(b"*2\r\n$1\r\nk\r\n$%d\r\n" % MOST)
    with pytest.raises(FramingError, match="over"):
        machine.next()
    assert not machine.kept


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n",
        b"\x97\x00",
        b"+OK\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*%d\r\n" % (MOST_WORDS + 1),
        b"*1\r\n:5\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$+3\r\nabc\r\n",
        b"*1\r\n$3\r\nabcd\r\n",
        b"*999999999999",
        b"*1\r\n$99999999999",
        b"*1 \r\n",
        b"\r\n",
    ],
)
def test_what_is_no_message_is_a_fault_that_stays(data: bytes) -> None:
    machine = Machine()
    good = framed([b"hb"])
    machine.receive(good + data + good)
    assert machine.next() == (b"hb",)
    for _ in range(2):
        with pytest.raises(FramingError):
            machine.next()
    machine.receive(b"x" * 1000)
    assert not machine.kept


def test_an_endless_message_costs_no_more_than_its_limit() -> None:
    machine = Machine(most=4096)
    with pytest.raises(FramingError):
        for _ in range(10_000):
            taken(machine, b"*1000\r\n" if not machine.left else b"$100\r\n" + b"y" * 100 + b"\r\n")
    assert not machine.kept and not machine.words


def test_every_message_is_read_in_the_modules_units() -> None:
    def read(text: str) -> object:
        return messages.read(words(text), KNOWN)

    assert read("hb") == (Said.ALIVE, ())
    assert read("telemetry zone b") == (Said.COLLECTS, (1,))
    assert read("attach proxy 17 zone a weight 21.5 fresh 1") == (Said.JOINS, (17, 0, 21.5, True))
    assert read("done proxy 17 mark 905 took_ms 310.44") == (Said.APPLIED, (17, 905, 3104))
    tries = "upstream_stats zone a server s-1 tries 212 failed 3 mean_ms 41.7 span_ms 1000.0"
    assert read(tries) == (Said.TRIES, ("s-1", 0, 212, 3, 417, 10_000, LoadReport()))
    told = read(tries + " load queue:7,util:0.61,latency_ms:20.5")
    assert told == (Said.TRIES, ("s-1", 0, 212, 3, 417, 10_000, LoadReport(0.61, 205)))
    flows = "client_stats proxy 17 class order tries 19 failed 0 span_ms 1000.0"
    assert read(flows) == (Said.FLOWS, (17, 1, 19, 0, 10_000))
    assert read(flows + " more 1") == read(flows)


GOOD = {
    "upstream_stats": "zone a server s-1 tries 212 failed 3 mean_ms 41.7 span_ms 1000.0 load queue:7",
    "client_stats": "proxy 17 class order tries 19 failed 0 span_ms 1000.0",
    "done": "proxy 17 mark 905 took_ms 310.4",
    "attach": "proxy 17 zone a weight 21.5 fresh 1",
}


@pytest.mark.parametrize("kind", GOOD)
def test_a_field_that_is_missing_or_has_no_meaning_spoils_its_message_alone(kind: str) -> None:
    fields = GOOD[kind].split(" ")
    messages.read(words(f"{kind} {GOOD[kind]}"), KNOWN)
    for place in range(0, len(fields), 2):
        spoilt = [fields[:place] + fields[place + 2 :]] if fields[place] != "load" else []
        for bad in ("", "-3", "nan", "inf", "1e+30", "38654705664", "[1]", "s-zz", "1_0", "0x1", "\x00", "\xff", " 1"):
            spoilt.append([*fields[: place + 1], bad, *fields[place + 2 :]])
        for each in [*spoilt, [*fields, *fields[place : place + 2]], fields[: place + 1]]:
            if fields[place] == "load" and each[place + 1 : place + 2] == [""]:
                continue  # an empty report tells nothing, and says so
            with pytest.raises(InvalidMessage, match=kind):
                messages.read((kind.encode(), *(word.encode("latin-1") for word in each)), KNOWN)


@pytest.mark.parametrize("text", ["assign rows s-1:1", "reject why x", "hb_ok", "", "ATTACH proxy 1"])
def test_other_kinds_are_refused(text: str) -> None:
    with pytest.raises(InvalidMessage):
        messages.read(words(text), KNOWN)


def test_orders_keep_withdrawals_first_and_the_mark_last() -> None:
    encoder = Encoder(("lookup", "order"))
    whole = Rows((), True, (("s-1", 1.5), ("s-2", 0.2)))
    orders = Orders(("s-9",), ("s-1",), (whole,), (Level((0,), 0.9, 1),), 905)
    found = taken(Machine(), encoder.message(orders))
    assert found == [
        words("assign drop s-9 undrop s-1 replace 1 rows s-1:1.5,s-2:0.2 part 1"),
        words("assign for lookup gate 0.9 again 1 stamp 905"),
    ]
    assert orders.lines == 1 + 1 + 3 + 1 + 1
    assert taken(Machine(), encoder.message(Orders((), (), (), (), 7))) == [words("assign stamp 7")]
    change = Orders((), (), (Rows((1,), False, (("s-1", 0.0),)),), (), 0)
    assert taken(Machine(), encoder.message(change)) == [words("assign for order rows s-1:0")]
    with pytest.raises(ValueError, match="parts"):
        encoder.message(Orders((), (), (), tuple(Level((0,), 1.0, 0) for _ in range(65)), 1))
    assert taken(Machine(), rejected("no such zone")) == [(b"reject", b"why", b"no such zone")]
