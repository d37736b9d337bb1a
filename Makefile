PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

SETTINGS ?= examples/trakia.toml
SEED ?= 1
SECONDS ?= 600
CELL ?= trakia

.PHONY: setup test lint format generate demo run bench capacity soak

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

# Runs a local cell from each example with real HTTP requests and jobs.
demo: setup
	$(BIN)/python -m basilhold.demo examples/trakia.toml examples/fjordlys.toml

# Runs a local cell until Ctrl-C, which drains it.
run: setup
	$(BIN)/basilhold-local run --settings $(SETTINGS)

bench: setup
	$(BIN)/python -m basilhold.benchmarks

# Measures the slopes again and rewrites the tables of docs/CAPACITY.md.
capacity: setup
	$(BIN)/python -m basilhold.capacity --write

# Runs a whole cell with load and faults; writes the plot and the event log to out/soak.
soak: setup
	$(BIN)/python -m basilhold.soak --seed $(SEED) --seconds $(SECONDS) --cell $(CELL) --out out/soak

# Regenerates the committed protobuf code; needs the development dependencies only.
generate: setup
	PATH="$(BIN):$$PATH" $(BIN)/python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. --grpclib_python_out=. \
	    basilhold/rpc/messages.proto
