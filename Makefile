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

lint: install-packages
	@.ci/lint

format:
	@.ci/lint --fix --format-only

# Lint runs beside build and tests; its output is shown at the end, and both must pass.
test: install-packages
	@mkdir -p $(BUILD)
	@.ci/lint > $(BUILD)/lint.log 2>&1 & lint=$$!; \
	$(MAKE) --no-print-directory build; built=$$?; \
	if [ $$built -eq 0 ]; then tests/run $(BUILD); tested=$$?; else tested=$$built; fi; \
	wait $$lint; linted=$$?; cat $(BUILD)/lint.log; [ $$tested -eq 0 ] && [ $$linted -eq 0 ]

demo: build
	@$(BUILD)/auburndoor-demo --programs=$(BUILD) --folder=$(BUILD)/demo

prove: build
	@SEEDS=$(SEEDS) tests/system/prove $(BUILD)

bench: build
	@$(BUILD)/auburndoor-bench
