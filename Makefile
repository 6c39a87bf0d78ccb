BUILD := build
# make prove SEEDS=n drives the times of the faults with the seeds 1 to n.
SEEDS ?= 1

.PHONY: build test demo lint format prove bench install-packages

install-packages:
	@.ci/install

build: install-packages
	@cmake -S . -B $(BUILD) -G Ninja > $(BUILD).configure.log 2>&1 || { cat $(BUILD).configure.log; exit 1; }
	@mkdir -p $(BUILD) && mv $(BUILD).configure.log $(BUILD)/configure.log
	@cmake --build $(BUILD)

lint: build
	@.ci/lint

format:
	@.ci/lint --fix --format-only

test: build lint
	@tests/run $(BUILD)

demo: build
	@$(BUILD)/auburndoor-demo --programs=$(BUILD) --folder=$(BUILD)/demo

prove: build
	@SEEDS=$(SEEDS) tests/system/prove $(BUILD)

bench: build
	@$(BUILD)/auburndoor-bench
