"""Small asyncio HTTP/1.1 client and server over h11."""

from lentilpath_http._budget import ConnectionBudget, Eviction, SharedLimits, create_budget
from lentilpath_http._client import HttpClient, Identification, create_client
from lentilpath_http._connection import ClientConnection, open_connection
from lentilpath_http._messages import (
    READ_TRANSFER,
    HttpError,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    MalformedMessage,
    MessageTooLarge,
    RequestNotSent,
    ResponseLost,
    TransferBounds,
    json_response,
)
from lentilpath_http._server import HttpServer, serve_http

__all__ = [
    "READ_TRANSFER",
    "ClientConnection",
    "ConnectionBudget",
    "Eviction",
    "HttpClient",
    "HttpError",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "Identification",
    "MalformedMessage",
    "MessageTooLarge",
    "RequestNotSent",
    "ResponseLost",
    "SharedLimits",
    "TransferBounds",
    "create_budget",
    "create_client",
    "json_response",
    "open_connection",
    "serve_http",
]
