"""The HTTP server for callers: malformed, smuggled, truncated and slow requests, and TLS."""

import asyncio
import datetime
import hashlib
import ssl

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilpath_http import HttpLimits, HttpResponse, serve_http
from tests.common.requests import open_cell

PATH = "/services/boxplanner/x"
TOKENS = st.text("abcxyz-", min_size=1, max_size=8)
VALUES = st.text(st.characters(min_codepoint=32, max_codepoint=255), max_size=20).filter(
    lambda text: not any(127 <= ord(c) < 160 for c in text)
)
FRAMINGS = (
    "length",
    "chunked",
    "both",
    "both-reversed",
    "two-lengths",
    "long-length",
    "signed-length",
    "spaced-name",
    "odd-coding",
    "bare-newline",
    "cut-head",
    "cut-body",
)
VALID_FRAMINGS = frozenset({"length", "chunked"})


def frame_body(framing, body):
    """Return the header lines that frame the body, and the bytes that follow the headers."""
    length = len(body)
    chunked = b"%x\r\n%s\r\n0\r\n\r\n" % (length, body) if body else b"0\r\n\r\n"
    encodings = {
        "length": ([f"content-length: {length}"], body),
        "chunked": (["transfer-encoding: chunked"], chunked),
        "both": ([f"content-length: {length}", "transfer-encoding: chunked"], chunked),
        "both-reversed": (["transfer-encoding: chunked", f"content-length: {length}"], chunked),
        "two-lengths": ([f"content-length: {length}", f"content-length: {length + 1}"], body),
        "long-length": ([f"content-length: {length + 5}"], body),
        "signed-length": ([f"content-length: +{length}"], body),
        "spaced-name": (["transfer-encoding : chunked"], chunked),
        "odd-coding": (["transfer-encoding: xchunked"], chunked),
        "bare-newline": ([f"content-length: {length}\nx: y\r\r"], body),
        "cut-head": ([f"content-length: {length}"], body),
        "cut-body": ([f"content-length: {length}"], body[: length // 2]),
    }
    return encodings[framing]


def write_request(framing, target, headers, body):
    lines, payload = frame_body(framing, body)
    named = [f"{name}: {value}" for name, value in headers]
    head = [f"POST {PATH}{target} HTTP/1.1", "host: a", "x-customer: c", *named, *lines]
    data = "\r\n".join(head).encode("latin-1") + b"\r\n\r\n" + payload
    return data[: len(data) // 2] if framing == "cut-head" else data


async def send_raw(port, data):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    if writer.can_write_eof():
        await writer.drain()
    answer = b""
    try:
        async with asyncio.timeout(0.25):
            answer = await reader.readuntil(b"\r\n\r\n")
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        pass
    writer.close()
    return answer


@given(
    st.sampled_from(FRAMINGS),
    st.text("abc/%?&=.", max_size=10),
    st.lists(st.tuples(TOKENS.map("x-{}".format), VALUES), max_size=4),
    st.one_of(
        st.binary(max_size=200),
        st.just(b"0\r\n\r\nPOST /services/boxplanner/smuggled HTTP/1.1\r\nhost: a\r\n\r\n"),
    ),
)
@settings(max_examples=80)
def test_a_runner_receives_a_request_as_its_caller_sent_it_or_not_at_all(
    framing, target, headers, body
):
    async def scenario():
        async with open_cell(service_ms=0.0) as cell:
            data = write_request(framing, target, headers, body)
            if framing == "cut-body" and not body:
                return
            await send_raw(cell.hosts["host-1"].get_port(), data)
            runs = cell.list_runs()
            if framing in VALID_FRAMINGS:
                assert [run["body_hash"] for run in runs] == [hashlib.sha256(body).hexdigest()]
                assert runs[0]["target"] == f"/x{target}"
            else:
                assert runs == []
            assert cell.runners["runner-0"].malformed == 0
            assert (await cell.call("host-1", "/after")).status == 200

    asyncio.run(scenario())


@given(st.binary(max_size=300))
@settings(max_examples=60)
def test_arbitrary_bytes_do_not_stop_the_daemon(data):
    async def scenario():
        async with open_cell(service_ms=0.0) as cell:
            await send_raw(cell.hosts["host-1"].get_port(), data + b"\r\n\r\n")
            assert (await cell.call("host-1", "/after")).status == 200

    asyncio.run(scenario())


def test_an_odd_target_is_refused_as_invalid():
    async def scenario():
        async with open_cell() as cell:
            data = b"GET //[x HTTP/1.1\r\nhost: a\r\nx-customer: c\r\n\r\n"
            answer = await send_raw(cell.hosts["host-1"].get_port(), data)
            assert answer.startswith(b"HTTP/1.1 400")

    asyncio.run(scenario())


async def answer_with_empty_body(request):
    return HttpResponse(200)


def test_closes_the_connection_of_a_caller_that_sends_too_slowly():
    async def scenario():
        limits = HttpLimits(receive_timeout_seconds=0.1)
        server = await serve_http(answer_with_empty_body, "127.0.0.1", 0, limits=limits)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.get_port())
        writer.write(b"POST / HTTP/1.1\r\nhost: a\r\n")
        assert await reader.read(-1) == b""
        writer.close()
        await server.close(1.0)

    asyncio.run(scenario())


def test_refuses_heads_bodies_and_header_counts_over_their_bounds():
    async def scenario():
        limits = HttpLimits(max_head_bytes=2_000, max_body_bytes=100, max_headers=10)
        server = await serve_http(answer_with_empty_body, "127.0.0.1", 0, limits=limits)
        start = b"POST / HTTP/1.1\r\nhost: a\r\n"
        many = b"".join(b"x-%d: 1\r\n" % i for i in range(20))
        for data, status in (
            (start + b"content-length: 101\r\n\r\n" + b"x" * 101, b"413"),
            (start + many + b"\r\n", b"413"),
            (start + b"x: " + b"y" * 4_000 + b"\r\n\r\n", b"431"),
            (start + b"content-length: 100\r\n\r\n" + b"x" * 100, b"200"),
        ):
            answer = await send_raw(server.get_port(), data)
            assert answer.split()[1] == status
        await server.close(1.0)

    asyncio.run(scenario())


def write_certificate(folder):
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "entry")])
    start = datetime.datetime(2020, 1, 1)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(start)
        .not_valid_after(start + datetime.timedelta(days=36_500))
        .sign(key, hashes.SHA256())
    )
    (folder / "certificate.pem").write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    (folder / "key.pem").write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )


def test_serves_callers_over_tls_and_nobody_in_plain_text(tmp_path):
    write_certificate(tmp_path)

    async def scenario():
        tls = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        tls.load_cert_chain(tmp_path / "certificate.pem", tmp_path / "key.pem")
        server = await serve_http(answer_with_empty_body, "127.0.0.1", 0, tls=tls)
        trust = ssl.create_default_context(cafile=str(tmp_path / "certificate.pem"))
        trust.check_hostname = False
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", server.get_port(), ssl=trust, server_hostname="entry"
        )
        writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
        writer.close()
        plain = await send_raw(server.get_port(), b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        assert plain == b""
        await server.close(1.0)

    asyncio.run(scenario())
