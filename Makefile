# Development tasks of carawayroute. They need only Python 3.11 and a package registry.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/schema packages/library packages/daemon packages/ctl packages/standins
JOBS ?= 6
SOURCES := packages tests tools examples bench

export DEPLOYMENT ?= deckmali

.PHONY: help setup demo test test-fast soak lint format schema bench experiment lock clean

help:  ## Show the tasks.
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/'

setup: $(VENV)/.ready  ## Create .venv from the lock file.

$(VENV)/.ready: requirements.lock $(addsuffix /pyproject.toml,$(PACKAGES))
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(addprefix -e ,$(PACKAGES))
	touch $@

demo: setup  ## Serve a deployment end to end (DEPLOYMENT=deckmali or cornice).
	$(BIN)/python -m carawayroute_standins.demo

test: setup  ## Run every test.
	$(BIN)/python -m pytest -q -n $(JOBS) --dist worksteal

test-fast: setup  ## Run the tests except the fault matrix and those that start processes.
	$(BIN)/python -m pytest -q -n $(JOBS) -m "not slow and not matrix"

soak: setup  ## Inject seeded faults into real processes (SEED=1,2 SECONDS=20; default: a new seed).
	$(BIN)/python tests/soak.py --seeds $(or $(SEED),0) --seconds $(or $(SECONDS),20)

lint: setup  ## Check format and style.
	$(BIN)/black --check --quiet $(SOURCES)
	$(BIN)/ruff check --quiet $(SOURCES)

format: setup  ## Format the code.
	$(BIN)/black --quiet $(SOURCES)
	$(BIN)/ruff check --fix --quiet $(SOURCES)

schema: setup  ## Generate the schema package from schema/.
	$(BIN)/python tools/generate.py
	$(BIN)/black --quiet packages/schema/carawayroute_schema/settings.py

bench: setup  ## Run the benchmarks; tables, CSV and plots go to out/.
	$(BIN)/python -m bench

experiment: setup  ## Compare scheduling policies by simulating generated days.
	$(BIN)/python -m bench.experiment

lock: setup  ## Resolve requirements.in anew and write requirements.lock.
	$(BIN)/pip install --quiet --upgrade -r requirements.in
	$(BIN)/pip freeze --exclude-editable --all | grep -v '^pip==' > requirements.lock

clean:  ## Remove generated files.
	rm -rf $(VENV) out .pytest_cache .ruff_cache .hypothesis
