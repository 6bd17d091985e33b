PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
WORKERS ?= 4
STAMP = $(VENV)/.installed

.PHONY: setup test demo bench matrix check format

setup: $(STAMP)

$(STAMP): requirements.lock requirements.in pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

test: setup
	$(BIN)/python -m pytest --numprocesses $(WORKERS) -m "not alone"
	$(BIN)/python -m pytest -m alone

demo: setup
	$(BIN)/python -m tests.demo

bench: setup
	$(BIN)/python -m benchmarks.run

matrix: setup
	$(BIN)/python -m tests.matrix

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
