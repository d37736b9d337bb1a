"""HTTP client that counts what it sends."""

from typing import Any
from urllib.parse import urlsplit

from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from basilhold.accounting.traffic import HostLocator, Purpose, TrafficCounter

__all__ = ["CountingHttpClient"]


class CountingHttpClient:
    """Counts the requests of an adapter.

    Parameters
    ----------
    inner : tornado.httpclient.AsyncHTTPClient
    counter : TrafficCounter
    locator : HostLocator
    purpose : Purpose
    """

    def __init__(
        self,
        inner: AsyncHTTPClient,
        counter: TrafficCounter,
        locator: HostLocator,
        purpose: Purpose,
    ):
        self._inner = inner
        self._counter = counter
        self._locator = locator
        self._purpose = purpose

    async def fetch(self, request: HTTPRequest | str, **options: Any) -> HTTPResponse:
        """Send a request as ``AsyncHTTPClient.fetch`` does."""
        if isinstance(request, str):
            url, body = request, options.get("body") or b""
        else:
            url, body = request.url, request.body or b""
        if isinstance(body, str):
            body = body.encode()
        distance = self._locator.distance(urlsplit(url).hostname or "")
        self._counter.add_http(self._purpose, distance, len(body))
        return await self._inner.fetch(request, **options)
