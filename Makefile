# Each target sets up what it needs; VENV may name a shared environment.
VENV ?= .venv
PYTHON ?= python3
JOBS ?= 4

.PHONY: test demo fuzz bench lint

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --editable .
	touch $@

test: $(VENV)/.ready
	$(VENV)/bin/python -m pytest -n $(JOBS)

lint: $(VENV)/.ready
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

demo: $(VENV)/.ready
	$(VENV)/bin/python -m demo.run

# Runs the stateful fuzzers longer and with a free seed.
fuzz: $(VENV)/.ready
	CASSIAPITCH_FUZZ=1 $(VENV)/bin/python -m pytest -n $(JOBS) -k fuzz

bench: $(VENV)/.ready
	$(VENV)/bin/python -m bench.run --short
