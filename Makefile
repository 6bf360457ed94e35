# One command for each check. Everything runs from the venv that `setup` lays.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SOURCES := packages platform tests benches spec conftest.py

.PHONY: setup check test demo up format clean

$(VENV)/installed: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -qq --disable-pip-version-check -c constraints.txt setuptools
	$(BIN)/pip install -qq --disable-pip-version-check --no-build-isolation \
		-c constraints.txt -r requirements-dev.txt
	touch $@

setup: $(VENV)/installed

format: setup
	$(BIN)/black --quiet $(SOURCES)
	$(BIN)/ruff check --quiet --fix $(SOURCES)

check: setup
	$(BIN)/black --check --quiet --diff $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/mypy
	$(BIN)/vulture

test: setup
	PYTHONHASHSEED=0 $(BIN)/pytest

demo: setup
	$(BIN)/python -m lentilpath_standins.demo

up: setup
	$(BIN)/python -m lentilpath_standins.demo --keep-running

clean:
	rm -rf $(VENV) .pytest_cache .mypy_cache .ruff_cache .hypothesis
include $(wildcard make/*.mk)
