# All targets work on a fresh machine with Python 3.11, make and git.

PYTHON ?= $(shell command -v python3.11 || command -v python3)
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := kernel transport policies documents daemon gateway cli standins workbench
EDITABLE := $(foreach name,$(PACKAGES),-e packages/$(name)) -e platform
STAMP := $(VENV)/.installed
# Packages are built without isolation. hdrhistogram has no wheel for arm64, and its
# source build takes its version from pbr.
BUILD_TOOLS := setuptools pbr
SEED ?= 1
STEPS ?= 2000
SECONDS ?= 20
PYTEST_OPTIONS ?=

.PHONY: setup run platform-run fault-soak test demo bench soak slopes golden docs format lint types unit

setup: $(STAMP)

$(STAMP): constraints.txt requirements-dev.txt $(foreach name,$(PACKAGES),packages/$(name)/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -c constraints.txt $(BUILD_TOOLS)
	$(BIN)/python -m pip install --quiet --no-build-isolation -c constraints.txt \
		-r requirements-dev.txt $(EDITABLE)
	touch $@

run: $(STAMP)
	@$(BIN)/python -m sycamorenotch_workbench.run

platform-run: $(STAMP)
	@$(BIN)/python -m testing.platform.serve

fault-soak: $(STAMP)
	@$(BIN)/python -m testing.platform.fault_soak --seed=$(SEED) --seconds=$(SECONDS)

demo: $(STAMP)
	@$(BIN)/python -m sycamorenotch_workbench.demo

bench: $(STAMP)
	@$(BIN)/python -m sycamorenotch_workbench.bench

soak: $(STAMP)
	@$(BIN)/python -m sycamorenotch_workbench.soak --seed=$(SEED) --steps=$(STEPS)

slopes: $(STAMP)
	@$(BIN)/python -m sycamorenotch_workbench.slopes

docs: $(STAMP)
	@$(BIN)/python -m sycamorenotch_workbench.catalogue

golden: $(STAMP)
	@$(BIN)/python -m sycamorenotch_workbench.golden

format: $(STAMP)
	$(BIN)/ruff format packages platform testing
	$(BIN)/ruff check --fix packages platform testing

lint: $(STAMP)
	$(BIN)/ruff format --check packages platform testing
	$(BIN)/ruff check packages platform testing

types: $(STAMP)
	$(BIN)/mypy -p sycamorenotch_kernel -p sycamorenotch_policies -p sycamorenotch_documents -p sycamorenotch_gateway -p sycamorenotch_platform

unit: $(STAMP)
	$(BIN)/python -m pytest -q $(PYTEST_OPTIONS)

test: lint types unit
