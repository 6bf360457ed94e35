"""Client of the platform's table, object store and host list over HTTP with JSON bodies."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import quote

from lentilpath_core.errors import OutcomeUnknown, TableUnavailable, Unavailable
from lentilpath_core.ids import RackId, RegionId, RowVersion, ServiceId, ZoneId
from lentilpath_core.resources import Resources
from lentilpath_core.settings import Address
from lentilpath_http import (
    READ_TRANSFER,
    HttpClient,
    HttpError,
    HttpRequest,
    HttpResponse,
    RequestNotSent,
    create_client,
)
from lentilpathd._ports import CommitResult, HostKind, ListedHost, Row, Transaction

HTTP_OK = 200
HTTP_NOT_MODIFIED = 304
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409


class Platform:
    """Implements `Table`, `ObjectStore` and `HostList` with one HTTP client."""

    def __init__(self, client: HttpClient, zone: ZoneId | None) -> None:
        self._client = client
        self._host_queries = _list_host_queries(zone)
        self._cached_hosts: dict[str, tuple[str, tuple[ListedHost, ...]]] = {}
        """Last response to each query of the host list, with its entity tag."""

    async def commit(self, transaction: Transaction, timeout: float) -> CommitResult:
        """Apply `transaction` atomically; see `Table`."""
        message = {
            "id": transaction.write_id,
            "checks": [{"key": key, "version": version} for key, version in transaction.checks],
            "puts": [{"key": key, "value": value} for key, value in transaction.puts],
            "deletes": list(transaction.deletes),
        }
        request = _make_post("/table/commit", message)
        try:
            response = await self._client.send(request, timeout)
            if response.status == HTTP_OK:
                return CommitResult(applied=True)
            if response.status == HTTP_CONFLICT:
                conflicts = tuple(_read_row(row) for row in response.parse_json()["conflicts"])
                return CommitResult(applied=False, conflicts=conflicts)
        except RequestNotSent as error:
            raise TableUnavailable(f"table not reached: {error}") from error
        except (HttpError, KeyError, TypeError) as error:
            raise OutcomeUnknown(f"write {transaction.write_id}: {error!r}") from error
        if response.status == 503:
            raise TableUnavailable("table refused the write with status 503; try again later")
        raise OutcomeUnknown(f"write {transaction.write_id}: status {response.status}")

    async def read(self, keys: tuple[str, ...], timeout: float) -> tuple[Row, ...]:
        """Return one row for each key, in order; see `Table`."""
        response = await self._send_checked(
            _make_post("/table/read", {"keys": list(keys)}), timeout
        )
        return tuple(_read_row(row) for row in response.parse_json()["rows"])

    async def scan(self, prefix: str, after: str, limit: int, timeout: float) -> tuple[Row, ...]:
        """Return rows by prefix; see `Table`."""
        message = {"prefix": prefix, "after": after, "limit": limit}
        response = await self._send_checked(_make_post("/table/scan", message), timeout)
        return tuple(_read_row(row) for row in response.parse_json()["rows"])

    async def put_object(self, key: str, data: bytes, timeout: float) -> None:
        """Store `data` under `key`."""
        await self._send_checked(HttpRequest("PUT", f"/objects/{quote(key)}", body=data), timeout)

    async def get_object(self, key: str, timeout: float) -> bytes | None:
        """Return the object, or `None` if there is none."""
        request = HttpRequest("GET", f"/objects/{quote(key)}")
        response = await self._send(request, timeout)
        if response.status == HTTP_NOT_FOUND:
            return None
        _check_status(response, request)
        return response.body

    async def list_objects(self, prefix: str, timeout: float) -> tuple[str, ...]:
        """Return the keys that begin with `prefix`, sorted."""
        request = HttpRequest("GET", f"/objects?prefix={quote(prefix)}")
        response = await self._send_checked(request, timeout)
        return tuple(response.parse_json()["keys"])

    async def delete_object(self, key: str, timeout: float) -> None:
        """Delete the object if it exists."""
        await self._send_checked(HttpRequest("DELETE", f"/objects/{quote(key)}"), timeout)

    async def list_hosts(self, timeout: float) -> tuple[ListedHost, ...]:
        """Return the zone's workers and all upstreams that the platform lists."""
        lists = [await self._query_hosts(query, timeout) for query in self._host_queries]
        return tuple(host for hosts in lists for host in hosts)

    async def _query_hosts(self, query: str, timeout: float) -> tuple[ListedHost, ...]:
        # The list is long and seldom changes, so it is transferred only if it has changed.
        etag, cached = self._cached_hosts.get(query, ("", ()))
        headers = (("if-none-match", etag),) if etag else ()
        request = HttpRequest("GET", f"/hosts{query}", headers)
        response = await self._send(request, timeout)
        if response.status == HTTP_NOT_MODIFIED:
            return cached
        _check_status(response, request)
        hosts = tuple(_read_host(host) for host in response.parse_json()["hosts"])
        self._cached_hosts[query] = (response.get_header("etag") or "", hosts)
        return hosts

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def _send_checked(self, request: HttpRequest, timeout: float) -> HttpResponse:
        response = await self._send(request, timeout)
        _check_status(response, request)
        return response

    async def _send(self, request: HttpRequest, timeout: float) -> HttpResponse:
        try:
            return await self._client.send(request, timeout, READ_TRANSFER)
        except HttpError as error:
            raise TableUnavailable(f"{request.method} {request.target}: {error!r}") from error


def create_platform(address: Address, zone: ZoneId | None = None) -> Platform:
    """Return a client of the platform at `address`; with `zone` it lists only workers of `zone`."""
    return Platform(create_client(address.host, address.port), zone)


def _list_host_queries(zone: ZoneId | None) -> tuple[str, ...]:
    if zone is None:
        return ("",)
    return (f"?kind=worker&zone={quote(zone)}", "?kind=upstream")


def _make_post(target: str, message: object) -> HttpRequest:
    body = json.dumps(message, separators=(",", ":")).encode()
    return HttpRequest("POST", target, (("content-type", "application/json"),), body)


def _check_status(response: HttpResponse, request: HttpRequest) -> None:
    if response.status != HTTP_OK:
        raise Unavailable(f"{request.method} {request.target}: status {response.status}")


def _read_row(row: dict[str, Any]) -> Row:
    return Row(row["key"], RowVersion(row["version"]), row["value"] or "")


def _read_host(host: dict[str, Any]) -> ListedHost:
    capacity = host.get("capacity") or {}
    service = host.get("service")
    return ListedHost(
        name=host["name"],
        kind=HostKind(host["kind"]),
        region=RegionId(host["region"]),
        zone=ZoneId(host["zone"]),
        rack=RackId(host.get("rack", "")),
        address=Address(host["address"], host["port"]),
        leaving=bool(host.get("leaving", False)),
        service=ServiceId(service) if service else None,
        slots=host.get("slots", 0),
        connections=host.get("connections", 0),
        capacity=Resources(
            capacity.get("millicores", 0),
            capacity.get("memory_mib", 0),
            capacity.get("accelerators", 0),
        ),
    )
