# The two commands of a newcomer: `make demo` and `make test`. Each makes its own environment.
PYTHON ?= python3
ENV := .venv-dev
RUN := $(ENV)/bin/python

.PHONY: demo test clean

demo: $(ENV)/made
	$(RUN) examples/demo.py

test: $(ENV)/made
	$(ENV)/bin/ruff check .
	$(ENV)/bin/ruff format --check .
	$(ENV)/bin/mypy
	$(RUN) -m pytest -q -n 4 --dist loadfile

$(ENV)/made: requirements.txt requirements-standalone.txt requirements-load.txt requirements-rehearse.txt requirements-import.txt requirements-dev.txt
	$(PYTHON) -c 'import sys; sys.exit("Python 3.11 or newer is needed") if sys.version_info < (3, 11) else 0'
	$(PYTHON) -m venv $(ENV)
	$(ENV)/bin/pip -q install -r requirements-dev.txt
	touch $@

clean:
	rm -rf $(ENV)
