"""Callers of a deployment, each in a thread, who remember what they were told."""

import http.client
import threading
from collections import Counter

from lentilpath_standins._control import ask, read_log

CALL_SECONDS = 15.0
HTTP_OK = 200


def call_once(host, service, token):
    """Send one request through `host` and return its status and body."""
    answer = ask(
        host.callers,
        "GET",
        f"/services/{service}/plan?for={token}",
        headers={"x-customer": "harbor-spoon"},
        timeout=CALL_SECONDS,
    )
    return answer.status, answer.body


class Callers:
    """Sends one request after another through each entry host until it is told to stop.

    As behind a balancer, a host that refuses the connection is tried again later; only a request
    that was sent counts.
    """

    def __init__(self, hosts, service):
        self._service = service
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self.answered = []
        self.broken = []
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
                    self.broken.append((token, repr(error)))
                continue
            with self._lock:
                self.answered.append((token, status, body))

    def list_failures(self):
        """Return what was not answered with the caller's own whole answer."""
        wrong = [
            (token, status, body)
            for token, status, body in self.answered
            if status != HTTP_OK or f"for={token}".encode() not in body
        ]
        return wrong + self.broken


def count_runs(deployment):
    """Return how often each caller's request ran, by the runners' own logs."""
    runs: Counter[str] = Counter()
    for runner in deployment.cell.runners:
        for entry in read_log(runner.address)["requests"]:
            runs[entry["target"].rpartition("for=")[2]] += 1
    return runs
