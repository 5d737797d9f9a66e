"""HTTP client for the caller API, used by the demo, benchmarks and tests."""

import json
import time

import aiohttp

from carawayroute.types import Instance


class RequestResult:
    """The result of one quick request.

    :ivar wait_ms: time from sending the request to its answer.
    """

    __slots__ = ("body", "kind", "outcome", "request_id", "status", "wait_ms")

    def __init__(
        self, request_id: str, kind: str, status: int, outcome: str, body: object, wait_ms: float
    ) -> None:
        self.request_id = request_id
        self.kind = kind
        self.status = status
        self.outcome = outcome
        self.body = body
        self.wait_ms = wait_ms


class Caller:
    """Sends requests on behalf of one team."""

    def __init__(self, session: aiohttp.ClientSession, team: str) -> None:
        self._session = session
        self._team = team

    def _headers(self, **more: str) -> dict[str, str]:
        return {
            "Authorization": f"Bearer {self._team}-key",
            "Carawayroute-Team": self._team,
            **more,
        }

    async def quick(
        self, entry: Instance, kind: str, request_id: str, run_ms: int, wait_ms: int = 0
    ) -> RequestResult:
        """Send a quick request; the outcome is ``unknown`` if the connection breaks."""
        headers = self._headers(**{"Carawayroute-Request-Id": request_id})
        if wait_ms:
            headers["Carawayroute-Deadline-Ms"] = str(wait_ms)
        body = json.dumps({"request": request_id, "run_ms": run_ms})
        began = time.monotonic()
        status, outcome, answer = 0, "unknown", None
        url = f"http://{entry.address}/v1/kinds/{kind}/requests"
        try:
            async with self._session.post(url, data=body, headers=headers) as response:
                status = response.status
                answer = await response.json()
                outcome = response.headers.get("Carawayroute-Outcome") or answer["outcome"]
        except aiohttp.ClientConnectorError:
            outcome = "not_run"
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            pass
        wait = (time.monotonic() - began) * 1000
        return RequestResult(request_id, kind, status, outcome, answer, wait)

    async def submit(self, entry: Instance, job: dict) -> dict:
        """Submit a job and return the response body."""
        url = f"http://{entry.address}/v1/jobs"
        async with self._session.post(url, json=job, headers=self._headers()) as response:
            return await response.json()

    async def watch(self, entry: Instance, job_id: str, wait_ms: int) -> dict:
        """Wait up to `wait_ms` for a job to end and return its view."""
        url = f"http://{entry.address}/v1/jobs/{job_id}"
        params = {"wait_ms": str(wait_ms)}
        async with self._session.get(url, params=params, headers=self._headers()) as response:
            return await response.json()

    async def cancel(self, entry: Instance, job_id: str) -> dict:
        """Cancel a job and return the response body."""
        url = f"http://{entry.address}/v1/jobs/{job_id}/cancel"
        async with self._session.post(url, headers=self._headers()) as response:
            return await response.json()
