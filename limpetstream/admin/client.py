"""Blocking HTTP client and error reporting of the command lines."""

import dataclasses
import os
import sys
from collections.abc import Callable
from typing import Any, NoReturn

import fire
import msgspec
import pycurl

from limpetstream import errors
from limpetstream.admin import arguments

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_CONFLICT = 4
TIMEOUT_S = 15


class Unreachable(errors.LimpetstreamError):
    """The server did not send a complete answer in time."""


@dataclasses.dataclass(slots=True)
class Reply:
    """HTTP response of an entry instance.

    Args:
        status: HTTP status.
        headers: Headers; names are in lower case.
        body: Complete body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded JSON body; None if the body is empty."""
        return msgspec.json.decode(self.body) if self.body else None


@dataclasses.dataclass(slots=True)
class Client:
    """HTTP client of one entry instance.

    Args:
        url: Base URL, such as ``http://127.0.0.1:8080``.
        key: Key of the operator or caller.
        ca: Certificate authority file for TLS; empty for those of the system.
        timeout_s: Time limit of one call, in seconds.
    """

    url: str
    key: str = ""
    ca: str = ""
    timeout_s: float = TIMEOUT_S

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        raw: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send one request and return the response, whatever its status.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Value to send as JSON.
            raw: Body to send unchanged, instead of ``body``.
            headers: Additional headers.

        Raises:
            Unreachable: No complete response arrived in time.
        """
        content = raw
        if content is None and body is not None:
            content = msgspec.json.encode(body)
        curl = pycurl.Curl()
        received: dict[str, str] = {}
        try:
            self._prepare(curl, method, path, content, headers or {}, received)
            payload = curl.perform_rb()
            status = curl.getinfo(pycurl.RESPONSE_CODE)
        except pycurl.error as error:
            raise Unreachable(f"{self.url}: {error.args[1]}") from error
        finally:
            curl.close()
        return Reply(status, received, payload)

    def _prepare(
        self,
        curl: pycurl.Curl,
        method: str,
        path: str,
        content: bytes | None,
        headers: dict[str, str],
        received: dict[str, str],
    ) -> None:
        def store_header(line: bytes) -> None:
            name, _, value = line.decode("latin-1").partition(":")
            if value:
                received[name.strip().lower()] = value.strip()

        lines = [f"{name}: {value}" for name, value in headers.items()]
        if self.key:
            lines.append(f"Authorization: Bearer {self.key}")
        curl.setopt(pycurl.URL, self.url.rstrip("/") + path)
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        # Otherwise libcurl waits for a body that no HEAD response has.
        curl.setopt(pycurl.NOBODY, 1 if method == "HEAD" else 0)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.TIMEOUT_MS, int(self.timeout_s * 1000))
        curl.setopt(pycurl.HEADERFUNCTION, store_header)
        if self.ca:
            curl.setopt(pycurl.CAINFO, self.ca)
        if content is not None:
            curl.setopt(pycurl.POSTFIELDS, content)
            lines.append("Expect:")
        if method == "HEAD":
            # Otherwise libcurl waits for a body that no HEAD response has.
            curl.setopt(pycurl.NOBODY, 1)
        curl.setopt(pycurl.HTTPHEADER, lines)


def from_environment(url: str, key: str, ca: str, *, variable: str) -> Client:
    """Return a client; empty values are read from environment variables.

    Args:
        url: Base URL, or the value of ``LIMPETSTREAM_URL`` if empty.
        key: Key, or the value of ``variable`` if empty.
        ca: Certificate authority file, or ``LIMPETSTREAM_CA`` if empty.
        variable: Name of the environment variable that holds the key.
    """
    return Client(
        url or os.environ.get("LIMPETSTREAM_URL", "http://127.0.0.1:8080"),
        key or os.environ.get(variable, ""),
        ca or os.environ.get("LIMPETSTREAM_CA", ""),
    )


def fail(message: str, status: int) -> NoReturn:
    """Print a message on standard error and exit with a status."""
    print(message, file=sys.stderr)
    sys.exit(status)


def json_or_exit(reply: Reply) -> Any:
    """Return the JSON body of a successful reply.

    For any other reply, print its reason, detail and findings, and exit.
    """
    if reply.status < 300:
        return reply.json()
    try:
        content = reply.json()
    except msgspec.DecodeError:
        content = None
    if not isinstance(content, dict):
        fail(f"the entry instance answered with status {reply.status}", EXIT_REFUSED)
    reason = content.get("reason") or content.get("outcome") or reply.status
    lines = [f"{reason}: {content.get('detail', '')}".rstrip(": ")]
    lines += [f"  {finding}" for finding in content.get("findings", [])]
    fail("\n".join(lines), EXIT_CONFLICT if reply.status == 409 else EXIT_REFUSED)


def run_program(program: Callable[[], None]) -> None:
    """Run a command line; print errors as messages without a traceback."""
    try:
        program()
    except arguments.WrongUsage as error:
        fail(f"wrong usage: {error}", EXIT_USAGE)
    except Unreachable as error:
        fail(f"no answer: {error}", EXIT_UNREACHABLE)
    except errors.LimpetstreamError as error:
        fail(str(error), EXIT_REFUSED)
    except BrokenPipeError:
        sys.exit(EXIT_REFUSED)
    except KeyboardInterrupt:
        fail("interrupted", 130)


def run_commands(command_class: type, name: str) -> None:
    """Run the command line of a class; its public methods are the commands."""

    def program() -> None:
        constructor_arguments, words = arguments.prepare_command(
            command_class, sys.argv[1:]
        )
        fire.Fire(command_class(**constructor_arguments), command=words, name=name)

    run_program(program)


def run_function(function: Callable[..., Any], name: str) -> None:
    """Run the command line of a single function."""

    def program() -> None:
        words = arguments.prepare_function(function, sys.argv[1:])
        fire.Fire(function, command=words, name=name)

    run_program(program)
