# mypy: no-check-untyped-defs
import datetime
import ipaddress
import json

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from lentilpath_core.settings import TlsSettings
from lentilpathd._tls import create_server_tls
from tests.nocover.test_cli_run import run_lentilpath, serving_cell


def write_certificate(directory):
    """Write a self-signed certificate for 127.0.0.1 and its key; return the TLS settings."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "127.0.0.1")])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=2))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    (directory / "host.pem").write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    (directory / "host.key").write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return TlsSettings(str(directory / "host.pem"), str(directory / "host.key"))


def test_checks_diffs_applies_and_rolls_back(tmp_path):
    file = tmp_path / "cell.json5"
    with serving_cell() as (host, cell):
        file.write_text("{teems: {}, customers: {c: {price_rule: 1}}}")
        for command in ("check", "apply"):
            refused = run_lentilpath("config", command, str(file), host=host)
            assert refused.returncode == 2
            assert "teems: unknown key; did you mean teams?" in refused.stderr
            assert "customers.c.price_rule" in refused.stderr
        assert run_lentilpath("config", "check", "--offline", str(file)).returncode == 2
        file.write_text("// quotas\n{teams: {packing: {quota: {millicores: 1000}}}}")
        assert run_lentilpath("config", "diff", str(file), host=host).stdout.startswith("path")
        applied = run_lentilpath("config", "apply", str(file), host=host)
        assert applied.returncode == 0, applied.stderr
        assert "2 of 2 hosts" in applied.stdout
        stale = run_lentilpath("config", "apply", str(file), "--expect-version", "0", host=host)
        assert stale.returncode == 3
        assert run_lentilpath("config", "rollback", "0", host=host).returncode == 0
        history = run_lentilpath("config", "history", "--json", host=host)
        assert [row[0] for row in json.loads(history.stdout)["table"]["rows"]] == [2, 1]
        assert "za-0" in run_lentilpath("config", "status", host=host).stdout
        shown = run_lentilpath("config", "show", host=host)
        assert shown.stdout.startswith("// version 2")
        assert cell.hosts["zb-0"].operators.configuration.get_version() == 2


def test_requests_need_a_key_once_the_first_key_exists(tmp_path):
    settings = write_certificate(tmp_path)
    with serving_cell(create_server_tls(settings)) as (host, _):
        trust = {"LENTILPATH_CA": settings.certificate}
        assert run_lentilpath("jobs", host=host).returncode != 0
        made = run_lentilpath("key", "create", "ada", "--role", "administrator", host=host, **trust)
        assert made.returncode == 0, made.stderr
        key = made.stdout.splitlines()[0].rpartition(" ")[2]
        refused = run_lentilpath("jobs", host=host, **trust)
        assert refused.returncode == 6
        wrong = run_lentilpath("jobs", host=host, LENTILPATH_KEY="wrong", **trust)
        assert wrong.returncode == 6
        assert "wrong" not in wrong.stderr
        allowed = run_lentilpath("jobs", host=host, LENTILPATH_KEY=key, **trust)
        assert allowed.returncode == 0, allowed.stderr
        listed = run_lentilpath("key", "list", host=host, LENTILPATH_KEY=key, **trust)
        assert "ada   administrator" in listed.stdout
        assert key not in listed.stdout
