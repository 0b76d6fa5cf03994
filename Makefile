# Build, test, lint and run. VENV is where `make` keeps what development needs.
VENV ?= .venv-dev
PY = $(VENV)/bin/python

.PHONY: build test lint run clean

build: $(VENV)/done

$(VENV)/done: requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements.txt -e '.[hosted,dev]'
	touch $@

test: build
	$(PY) -m pytest -n 4

lint: build
	$(VENV)/bin/ruff check hallhitch tests benchmarks
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports

run: build
	$(PY) -O -m hallhitch

clean:
	rm -rf $(VENV) build *.egg-info .mypy_cache .ruff_cache .pytest_cache
