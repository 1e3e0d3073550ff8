"""Answers of targets in trouble, made from the bytes of sound ones.

A spoiler that changes the length leaves an answer without a length as it is.
"""

from collections.abc import Callable
import re

Spoil = Callable[[bytes], bytes]


def _with_status(status: bytes) -> Spoil:
    def spoil(answer: bytes) -> bytes:
        _, _, rest = answer.partition(b"\r\n")
        return b"HTTP/1.1 %b\r\n%b" % (status, rest)

    return spoil


def _with_protocol(protocol: bytes) -> Spoil:
    def spoil(answer: bytes) -> bytes:
        _, _, rest = answer.partition(b" ")
        return b"%b %b" % (protocol, rest)

    return spoil


def _with_first_line(line: bytes) -> Spoil:
    def spoil(answer: bytes) -> bytes:
        status, _, rest = answer.partition(b"\r\n")
        return b"%b\r\n%b\r\n%b" % (status, line, rest)

    return spoil


def _with_last_line(line: bytes) -> Spoil:
    def spoil(answer: bytes) -> bytes:
        head, _, body = answer.partition(b"\r\n\r\n")
        return b"%b\r\n%b\r\n\r\n%b" % (head, line, body)

    return spoil


def _with_length_name(name: bytes) -> Spoil:
    def spoil(answer: bytes) -> bytes:
        return answer.replace(b"Content-Length:", name + b":")

    return spoil


def _with_length_line(line: bytes) -> Spoil:
    def spoil(answer: bytes) -> bytes:
        return re.sub(rb"Content-Length: \d+", line, answer)

    return spoil


def _with_chunks(line: bytes) -> Spoil:
    """Returns a spoiler that sends the body in chunks, as a line tells."""

    def spoil(answer: bytes) -> bytes:
        head, _, body = answer.partition(b"\r\n\r\n")
        lines = [
            other
            for other in head.split(b"\r\n")
            if not other.startswith(b"Content-Length")
        ]
        head = b"\r\n".join([*lines, line])
        chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        return head + b"\r\n\r\n" + chunks

    return spoil


INVALID_STATUSES: dict[str, Spoil] = {
    "status 000": _with_status(b"000 X"),
    "status 099": _with_status(b"099 X"),
    "status 600": _with_status(b"600 X"),
    "status 999": _with_status(b"999 X"),
    "status 101": _with_status(b"101 Switching Protocols"),
}

INVALID_FIELDS: dict[str, Spoil] = {
    "blank after Content-Length": _with_length_name(b"Content-Length "),
    "blanks after Content-Length": _with_length_name(b"Content-Length  "),
    "blank after Transfer-Encoding": _with_chunks(
        b"Transfer-Encoding : chunked"
    ),
    "blank after Connection": _with_last_line(b"Connection : close"),
    "blank after Proxy-Connection": _with_last_line(b"Proxy-Connection : x"),
    "blank after Upgrade": _with_last_line(b"Upgrade : x"),
    "blank after a name": _with_last_line(b"X-Name : x"),
    "blank in a name": _with_last_line(b"X Name: x"),
    "blank in Content-Length": _with_length_name(b"Content Length"),
    "tab in a name": _with_last_line(b"X\tName: x"),
    "tab after a name": _with_last_line(b"X-Name\t: x"),
    "tab after Content-Length": _with_length_name(b"Content-Length\t"),
    "control byte in a name": _with_last_line(b"X\x01Name: x"),
    "control byte after a name": _with_last_line(b"X-Name\x1f: x"),
    "control byte before Content-Length": _with_length_name(
        b"\x08Content-Length"
    ),
    "control byte after Content-Length": _with_length_name(
        b"Content-Length\x01"
    ),
    "NUL in a name": _with_last_line(b"X\x00Name: x"),
    "CR in a name": _with_last_line(b"X\rName: x"),
    "DEL in a name": _with_last_line(b"X\x7fName: x"),
    "no name": _with_last_line(b": x"),
    "no colon": _with_last_line(b"X-Name"),
    "control byte in a value": _with_last_line(b"X-Name: a\x01b"),
    "escape in a value": _with_last_line(b"X-Name: a\x1bb"),
    "DEL in a value": _with_last_line(b"X-Name: a\x7fb"),
    "NUL in a value": _with_last_line(b"X-Name: a\x00b"),
    "CR in a value": _with_last_line(b"X-Name: a\rb"),
}

INVALID_LINES: dict[str, Spoil] = {
    "blank before the first name": _with_first_line(b" X-Name: x"),
    "blank before Content-Length": _with_length_name(b" Content-Length"),
    "tab before Content-Length": _with_length_name(b"\tContent-Length"),
    "blank before a name": _with_last_line(b" X-Name: x"),
    "tab before a name": _with_last_line(b"\tX-Name: x"),
    "line of blanks": _with_last_line(b"  "),
    "LF before a name": _with_last_line(b"\nX-Name: x"),
    "LF before Content-Length": _with_length_name(b"\nContent-Length"),
    "LF in a name": _with_last_line(b"X\nName: x"),
    "LF in a value": _with_last_line(b"X-Name: a\nX-Other: b"),
    "other protocol": _with_protocol(b"RTSP/1.0"),
    "other version": _with_protocol(b"HTTP/2.0"),
    "no version": _with_protocol(b"HTTP"),
}

UNKNOWN_CODINGS: dict[str, Spoil] = {
    "gzip": _with_length_line(b"Transfer-Encoding: gzip"),
    "gzip after chunked": _with_length_line(
        b"Transfer-Encoding: chunked, gzip"
    ),
    "like chunked": _with_length_line(b"Transfer-Encoding: xchunked"),
    "gzip in chunks": _with_chunks(b"Transfer-Encoding: gzip, chunked"),
    "gzip in chunks, two lines": _with_chunks(
        b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked"
    ),
}

ALL: dict[str, Spoil] = (
    INVALID_STATUSES | INVALID_FIELDS | INVALID_LINES | UNKNOWN_CODINGS
)
