"""The stream protocol: framing of split data, valid and invalid messages, updates and their cost in lines."""

from __future__ import annotations

import random

import pytest

from onyxhead.fronts.streams import messages
from onyxhead.fronts.streams.messages import (
    Acknowledgement,
    AttemptReport,
    CollectorJoined,
    Heartbeat,
    InvalidMessageError,
    KnownNames,
    ProxyJoined,
    RequestReport,
)
from onyxhead.fronts.streams.resp import (
    MAX_ELEMENTS,
    MAX_MESSAGE_BYTES,
    FramingError,
    RawMessage,
    RespParser,
    encode_message,
)
from onyxhead.fronts.streams.updates import AdmissionUpdate, ProxyUpdate, TableUpdate, UpdateEncoder, encode_rejection
from onyxhead.policy.inputs import LoadReport

KNOWN_NAMES = KnownNames({"lookup": 0, "order": 1}, {"a": 0, "b": 1}, 20, {"s-1": None})


def elements(text: str) -> RawMessage:
    """Return the elements of a message, written as words with a space between them."""
    return tuple(text.encode().split(b" "))


def parse_pieces(parser: RespParser, *pieces: bytes) -> list[RawMessage]:
    """Feed the pieces to the parser one by one and return all messages that it completes."""
    completed = []
    for piece in pieces:
        parser.receive_data(piece)
        while (message := parser.next_message()) is not None:
            completed.append(message)
    return completed


def test_messages_are_the_same_wherever_the_bytes_are_split() -> None:
    rng = random.Random(5)
    sent = [tuple(rng.randbytes(rng.choice((0, 1, 9, 300))) for _ in range(rng.randint(1, 9))) for _ in range(60)]
    stream = b"".join(map(encode_message, sent))
    for _ in range(40):
        cuts = sorted(rng.randrange(len(stream)) for _ in range(rng.choice((0, 3, 400))))
        pieces = [stream[start:end] for start, end in zip([0, *cuts], [*cuts, len(stream)], strict=True)]
        parser = RespParser()
        assert parse_pieces(parser, *pieces) == sent and not parser.buffer
    assert parse_pieces(RespParser(), *(stream[offset : offset + 1] for offset in range(len(stream)))) == sent


def test_a_message_just_below_the_size_limit_is_read_and_a_larger_one_is_rejected_at_its_length_line() -> None:
    large_value = b"x" * (MAX_MESSAGE_BYTES - 100)
    assert parse_pieces(RespParser(), encode_message([b"k", large_value])) == [(b"k", large_value)]
    parser = RespParser()
    parser.receive_data(b"*2\r\n$1\r\nk\r\n$%d\r\n" % MAX_MESSAGE_BYTES)
    with pytest.raises(FramingError, match="of more than"):
        parser.next_message()
    assert not parser.buffer


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n",
        b"\x97\x00",
        b"+OK\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*%d\r\n" % (MAX_ELEMENTS + 1),
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
def test_malformed_framing_is_an_error_on_every_later_call(data: bytes) -> None:
    parser = RespParser()
    heartbeat = encode_message([b"hb"])
    parser.receive_data(heartbeat + data + heartbeat)
    assert parser.next_message() == (b"hb",)
    for _ in range(2):
        with pytest.raises(FramingError):
            parser.next_message()
    parser.receive_data(b"x" * 1000)
    assert not parser.buffer


def test_a_message_that_never_ends_is_rejected_at_the_size_limit() -> None:
    parser = RespParser(max_message_bytes=4096)
    with pytest.raises(FramingError):
        for _ in range(10_000):
            parse_pieces(parser, b"*1000\r\n" if not parser.missing_elements else b"$100\r\n" + b"y" * 100 + b"\r\n")
    assert not parser.buffer and not parser.elements


def test_each_kind_of_message_is_read_with_durations_in_ticks() -> None:
    def read(text: str) -> object:
        return messages.read_message(elements(text), KNOWN_NAMES)

    assert read("hb") == Heartbeat()
    assert read("telemetry zone b") == CollectorJoined(1)
    assert read("attach proxy 17 zone a weight 21.5 fresh 1") == ProxyJoined(17, 0, 21.5, True)
    assert read("done proxy 17 mark 905 took_ms 310.44") == Acknowledgement(17, 905, 3104)
    attempts = "upstream_stats zone a server s-1 tries 212 failed 3 mean_ms 41.7 span_ms 1000.0"
    assert read(attempts) == AttemptReport("s-1", 0, 212, 3, 417, 10_000, LoadReport())
    with_load_report = read(attempts + " load queue:7,util:0.61,latency_ms:20.5")
    assert with_load_report == AttemptReport("s-1", 0, 212, 3, 417, 10_000, LoadReport(0.61, 205))
    requests = "client_stats proxy 17 class order tries 19 failed 0 span_ms 1000.0"
    assert read(requests) == RequestReport(17, 1, 19, 0, 10_000)
    assert read(requests + " more 1") == read(requests)


VALID_FIELDS = {
    "upstream_stats": "zone a server s-1 tries 212 failed 3 mean_ms 41.7 span_ms 1000.0 load queue:7",
    "client_stats": "proxy 17 class order tries 19 failed 0 span_ms 1000.0",
    "done": "proxy 17 mark 905 took_ms 310.4",
    "attach": "proxy 17 zone a weight 21.5 fresh 1",
}


@pytest.mark.parametrize("kind", VALID_FIELDS)
def test_a_missing_or_invalid_field_invalidates_its_message(kind: str) -> None:
    fields = VALID_FIELDS[kind].split(" ")
    messages.read_message(elements(f"{kind} {VALID_FIELDS[kind]}"), KNOWN_NAMES)
    for name_index in range(0, len(fields), 2):
        invalid = [fields[:name_index] + fields[name_index + 2 :]] if fields[name_index] != "load" else []
        for bad in ("", "-3", "nan", "inf", "1e+30", "38654705664", "[1]", "s-zz", "1_0", "0x1", "\x00", "\xff", " 1"):
            invalid.append([*fields[: name_index + 1], bad, *fields[name_index + 2 :]])
        for variant in [*invalid, [*fields, *fields[name_index : name_index + 2]], fields[: name_index + 1]]:
            if fields[name_index] == "load" and variant[name_index + 1 : name_index + 2] == [""]:
                continue  # an empty load report is valid
            with pytest.raises(InvalidMessageError, match=kind):
                messages.read_message((kind.encode(), *(word.encode("latin-1") for word in variant)), KNOWN_NAMES)


@pytest.mark.parametrize("text", ["assign rows s-1:1", "reject why x", "hb_ok", "", "ATTACH proxy 1"])
def test_unknown_kinds_are_rejected(text: str) -> None:
    with pytest.raises(InvalidMessageError):
        messages.read_message(elements(text), KNOWN_NAMES)


def test_an_update_starts_with_withdrawals_and_ends_with_the_round_number() -> None:
    encoder = UpdateEncoder(("lookup", "order"))
    whole_table = TableUpdate((), True, (("s-1", 1.5), ("s-2", 0.2)))
    update = ProxyUpdate(("s-9",), ("s-1",), (whole_table,), (AdmissionUpdate((0,), 0.9, 1),), 905)
    sent = parse_pieces(RespParser(), encoder.encode(update))
    assert sent == [
        elements("assign drop s-9 undrop s-1 replace 1 rows s-1:1.5,s-2:0.2 part 1"),
        elements("assign for lookup gate 0.9 again 1 stamp 905"),
    ]
    assert update.line_count == 1 + 1 + 3 + 1 + 1
    assert parse_pieces(RespParser(), encoder.encode(ProxyUpdate((), (), (), (), 7))) == [elements("assign stamp 7")]
    change = ProxyUpdate((), (), (TableUpdate((1,), False, (("s-1", 0.0),)),), (), 0)
    assert parse_pieces(RespParser(), encoder.encode(change)) == [elements("assign for order rows s-1:0")]
    with pytest.raises(ValueError, match="parts"):
        encoder.encode(ProxyUpdate((), (), (), tuple(AdmissionUpdate((0,), 1.0, 0) for _ in range(65)), 1))
    assert parse_pieces(RespParser(), encode_rejection("no such zone")) == [(b"reject", b"why", b"no such zone")]
