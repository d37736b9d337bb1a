PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup test lint format generate

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $(STAMP)

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/lint-imports

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: setup
	$(BIN)/python -m nose2

# Regenerates the committed protobuf code; needs the development dependencies only.
generate: setup
	PATH="$(BIN):$$PATH" $(BIN)/python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. --grpclib_python_out=. \
	    basilhold/rpc/messages.proto
