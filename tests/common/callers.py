"""Callers of a deployment that send requests from threads and record the responses."""

import http.client
import threading
from collections import Counter

from lentilpath_standins._control import read_log, send_request

CALL_TIMEOUT_SECONDS = 15.0
HTTP_OK = 200


def call_once(host, service, token):
    """Send one request through `host` and return its status and body."""
    answer = send_request(
        host.callers,
        "GET",
        f"/services/{service}/plan?for={token}",
        headers={"x-customer": "harbor-spoon"},
        timeout=CALL_TIMEOUT_SECONDS,
    )
    return answer.status, answer.body


class Callers:
    """Sends one request after another through each entry host until it is told to stop.

    Like a load balancer, it retries a host that refused the connection after a delay. Only requests
    that were sent are recorded.
    """

    def __init__(self, hosts, service):
        self._service = service
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self.responses = []
        self.failed_calls = []
        self._threads = [
            threading.Thread(target=self._send_requests, args=(host,)) for host in hosts
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _send_requests(self, host):
        number = 0
        while not self._stop.is_set():
            number += 1
            token = f"{host.host}.{number}"
            try:
                status, body = call_once(host, self._service, token)
            except ConnectionRefusedError:
                self._stop.wait(0.05)
                continue
            except (OSError, http.client.HTTPException) as error:
                with self._lock:
                    self.failed_calls.append((token, repr(error)))
                continue
            with self._lock:
                self.responses.append((token, status, body))

    def list_failures(self):
        """Return failed calls and responses that are not 200 or belong to another request."""
        wrong = [
            (token, status, body)
            for token, status, body in self.responses
            if status != HTTP_OK or f"for={token}".encode() not in body
        ]
        return wrong + self.failed_calls


def count_runs(deployment):
    """Return the number of runs of each request token according to the runners' logs."""
    runs: Counter[str] = Counter()
    for runner in deployment.cell.runners:
        for entry in read_log(runner.address)["requests"]:
            runs[entry["target"].rpartition("for=")[2]] += 1
    return runs
