# Every target sets up what it needs in a virtual environment beside the sources.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: setup test soak lint format demo binary generate catalogue

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $@

test: setup
	@grep '^CI passes over' KNOWN-RED.txt || true
	$(BIN)/nose2 --config nose2.cfg
	PYTHONPATH=platform $(BIN)/nose2 --config nose2.cfg -s platform -t platform

# Fifty seeds of the fault soak; docs/soak.md.
soak: setup
	PYTHONPATH=platform $(BIN)/python -m apricotrail_soak --regressions --seeds 50

lint: setup
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check .

format: setup
	$(BIN)/black --quiet .
	$(BIN)/ruff check --fix .

demo: setup
	$(BIN)/apricotrail demo

# One executable file, dist/apricotrail; docs/packaging.md.
binary: setup
	$(BIN)/python tools/build-binary

# Needs Debian's thrift-compiler; the result is committed.
generate:
	sh tools/generate-messages

# Writes the pages that are generated from the code.
catalogue: setup
	$(BIN)/apricotrail events show > docs/EVENTS.md
	$(BIN)/apricotrail metrics show > docs/metrics-reference.md
