PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := core router agent standins

.PHONY: install format lint types test demo measure up down check clean

install: $(STAMP)

$(STAMP): requirements.lock $(PACKAGES:%=packages/%/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation $(PACKAGES:%=--editable packages/%)
	touch $@

format: install
	$(BIN)/black packages scripts tests
	$(BIN)/ruff check --fix packages scripts tests

lint: install
	$(BIN)/black --check --quiet packages scripts tests
	$(BIN)/ruff check --quiet packages scripts tests

types: install
	$(BIN)/mypy

test: install
	$(BIN)/python -m pytest

demo: install
	$(BIN)/python -m scripts.demo

measure: install
	$(BIN)/python -m scripts.measure

up: install
	$(BIN)/python -m scripts.up

down: install
	$(BIN)/python -m scripts.down

check: lint types test demo

clean:
	rm -rf build $(VENV)
