PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := packages/core packages/router packages/agent packages/standins packages/emulator platform

.PHONY: install format lint types test crowds demo measure experiment up down check clean

install: $(STAMP)

$(STAMP): requirements.lock $(PACKAGES:%=%/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation $(PACKAGES:%=--editable %)
	touch $@

format: install
	$(BIN)/black packages platform scripts tests
	$(BIN)/ruff check --fix packages platform scripts tests

lint: install
	$(BIN)/black --check --quiet packages platform scripts tests
	$(BIN)/ruff check --quiet packages platform scripts tests

types: install
	$(BIN)/mypy

test: install
	$(BIN)/python -m pytest -m "not crowd"

crowds: install
	$(BIN)/python -m pytest -m crowd tests/processes

demo: install
	$(BIN)/python -m scripts.demo

measure: install
	$(BIN)/python -m scripts.measure

experiment: install
	$(BIN)/python -m cornellead_emulator

up: install
	$(BIN)/python -m scripts.up

down: install
	$(BIN)/python -m scripts.down

check: lint types test crowds demo

clean:
	rm -rf build $(VENV)
