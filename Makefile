VENV ?= .venv
PYTHON ?= python3.11
DEPLOYMENT ?= brightwater
NAME ?= all
FIRST ?= 1
SEEDS ?= 50
BIN = $(VENV)/bin

.PHONY: demo test bench soak clean

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m demo --deployment $(DEPLOYMENT)

test: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m pytest

bench: $(VENV)/.installed
	$(BIN)/python -m bench --name $(NAME)

soak: $(VENV)/.installed
	seq $(FIRST) $$(($(FIRST) + $(SEEDS) - 1)) \
		| xargs -P 3 -I{} $(BIN)/python -m soak --first {}

clean:
	rm -rf build .venv
