PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
SOURCES = rosemaryroad tests bench demo harness deploy soak

.PHONY: venv demo test lint format bench unit soak

$(VENV)/installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[test]'
	touch $@

venv: $(VENV)/installed

demo: venv
	$(BIN)/python -m demo

lint: venv
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

format: venv
	$(BIN)/ruff check --select I --fix $(SOURCES)
	$(BIN)/ruff format $(SOURCES)

unit: venv
	$(BIN)/python -m tests

test: lint unit

bench: venv
	$(BIN)/python -m bench

soak: venv
	$(BIN)/python -m soak
