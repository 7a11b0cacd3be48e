"""A small HTTP/1.1 client and the reading of messages, for the stand-ins."""

import asyncio
import contextlib
import dataclasses


class BrokenError(Exception):
    """The connection failed or ended early."""


@dataclasses.dataclass
class Message:
    """The head of a request or a response."""

    first_line: str
    headers: list[tuple[str, str]]

    def header(self, name: str) -> str | None:
        """Returns a header's value by its lower-case name."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first_line.split(" ", 2)[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads a head; returns None if the connection ends before its first byte."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenError("the head is incomplete") from None
        return None
    except OSError as error:
        raise BrokenError(str(error)) from None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return Message(first, headers)


async def read_chunk(reader: asyncio.StreamReader) -> bytes | None:
    """Reads one chunk of a chunked body; returns None at the end of the body."""
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise BrokenError(f"the body is incomplete: {error!r}") from None
    return data[:-2] if size else None


async def read_body(reader: asyncio.StreamReader, head: Message) -> bytes:
    """Reads the whole body of a request or a response."""
    if (head.header("transfer-encoding") or "").lower() == "chunked":
        parts = []
        while (part := await read_chunk(reader)) is not None:
            parts.append(part)
        return b"".join(parts)
    try:
        return await reader.readexactly(int(head.header("content-length") or "0"))
    except (asyncio.IncompleteReadError, OSError) as error:
        raise BrokenError(f"the body is incomplete: {error!r}") from None


def encode_request(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns a whole request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b"",
    limit_s: float = 1.0,
) -> tuple[int, bytes] | None:
    """Makes one call on a new connection; returns None without a response in time."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            headers = {
                "Host": f"{address[0]}:{address[1]}",
                "Content-Type": "application/json",
                "Connection": "close",
            }
            writer.write(encode_request(method, path, headers, body))
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return None
            return head.status, await read_body(reader, head)
    except (TimeoutError, OSError, BrokenError):
        return None
    finally:
        if writer is not None:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()
