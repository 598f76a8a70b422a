VENV ?= .venv
PY = $(VENV)/bin/python
SEED ?= 1
SECONDS ?= 20
STEPS ?= 2000
SEEDS ?= 20
EMPTY :=
SPACE := $(EMPTY) $(EMPTY)
PACKAGES = $(wildcard packages/*)
LOCKED = requirements.lock $(wildcard packages/*/pyproject.toml)
STAMP = $(VENV)/.ready-$(shell cat $(LOCKED) | sha256sum | cut -c1-12)
export PYTHONPATH := $(subst $(SPACE),:,$(foreach p,$(PACKAGES),$(CURDIR)/$(p)/src)):$(CURDIR)/platform
export UV_USE_IO_URING = 0

.PHONY: setup format lint schema test demo fuzz fuzz-fleet fuzz-scheduler soak bench bench-recovery bench-capacity

setup: $(STAMP)

$(STAMP):
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements.lock
	$(PY) -m pip install -q --no-deps --no-build-isolation $(foreach p,$(PACKAGES),-e $(p))
	touch $@

format: setup
	$(PY) -m ruff check -q --fix --select I .
	$(PY) -m ruff format -q .

lint: setup
	$(PY) -m ruff format -q --check .
	$(PY) -m ruff check -q .
	$(PY) -m flake8

schema: setup
	$(PY) tools/generate_schema.py

test: setup
	$(PY) tools/run_tests.py $(TESTS)

demo: setup
	$(PY) -m amaranthflow_standins.demo --seed $(SEED) --seconds $(SECONDS) $(if $(SCENARIO),--scenario $(SCENARIO))

fuzz-fleet: setup
	$(PY) tools/fuzz_fleet.py --seed $(SEED) --steps $(STEPS)

fuzz: setup
	$(PY) tools/fuzz.py --seed $(SEED) --steps $(STEPS)

bench: setup
	$(PY) benchmarks/decisions.py

bench-recovery: setup
	$(PY) benchmarks/recovery.py

bench-capacity: setup
	$(PY) benchmarks/capacity.py

fuzz-scheduler: setup
	$(PY) tools/fuzz_scheduler.py --seed $(SEED) --seeds $(SEEDS)

soak: setup
	$(PY) tools/soak.py --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS)
