# mypy: no-check-untyped-defs
import re
from pathlib import Path

from lentilpathd._events import Event
from lentilpathd._metrics import Metric

CATALOGUE = Path(__file__).parents[2] / "docs" / "EVENTS.md"
ROW = re.compile(r"\| LP(\d{3}) \| (.+?) \| (.+?) \|$")


def read_catalogue():
    rows = [ROW.match(line) for line in CATALOGUE.read_text().splitlines()]
    return [(int(row[1]), row[2]) for row in rows if row]


def test_the_catalogue_has_every_event_and_no_other():
    events = sorted((event.number, event.text) for event in Event)
    assert read_catalogue() == events


def test_no_number_is_used_twice():
    numbers = [event.number for event in Event]
    assert len(set(numbers)) == len(numbers) == len(list(Event.__members__))


def test_every_metric_is_documented_and_no_other():
    page = (CATALOGUE.parent / "METRICS.md").read_text()
    names = re.findall(r"^\| `([\w.]+)` \|", page, flags=re.MULTILINE)
    assert sorted(names) == sorted(metric.value for metric in Metric)
