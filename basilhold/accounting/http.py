"""HTTP client that counts the requests it sends."""

from typing import Any
from urllib.parse import urlsplit

from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from basilhold.accounting.traffic import HostLocator, Purpose, TrafficCounter

__all__ = ["CountingHttpClient"]


class CountingHttpClient:
    """Wrapper of an HTTP client that counts requests and their body sizes.

    Parameters
    ----------
    inner : tornado.httpclient.AsyncHTTPClient
        Client that sends the requests.
    counter : TrafficCounter
        Receives the counts.
    locator : HostLocator
        Gives the distance to the host of a URL.
    purpose : Purpose
        Purpose under which all requests are counted.
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
        """Count a request and send it with ``AsyncHTTPClient.fetch``."""
        if isinstance(request, str):
            url, body = request, options.get("body") or b""
        else:
            url, body = request.url, request.body or b""
        if isinstance(body, str):
            body = body.encode()
        distance = self._locator.distance(urlsplit(url).hostname or "")
        self._counter.add_http(self._purpose, distance, len(body))
        return await self._inner.fetch(request, **options)
