PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup test lint format demo protos

setup: $(STAMP)

$(STAMP): requirements.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
	  --no-build-isolation $(foreach p,$(wildcard packages/*),-e $(p))
	touch $(STAMP)

test: setup
	$(BIN)/python -m pytest -n 6

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: setup
	$(BIN)/python examples/demo.py

# Regenerates the committed code from the schema; the build does not need it.
protos: setup
	cd packages/baobabapi && ../../$(BIN)/python -m grpc_tools.protoc -I . \
	  --python_out=. --grpc_python_out=. baobabapi/operators.proto
