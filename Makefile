# Thin wrappers around CMake and CTest.
JOBS ?= $(shell nproc)
BUILD ?= build

.PHONY: setup build run test format lint bench bench-smoke sanitize soak

setup:
	tools/setup

build: setup
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
	cmake --build $(BUILD) -j $(JOBS)

run: build
	tools/run_example $(BUILD)

test: build
	tools/check_format
	tools/check_lint $(BUILD)
	tools/run_tests $(BUILD)

format:
	tools/check_format --fix

sanitize: setup
	tools/check_sanitizers $(JOBS)

bench-smoke: build
	tools/bench $(BUILD) smoke

bench: build
	tools/bench $(BUILD) full

# Fault injection soak test of entries and agents. Example: make soak SEED=7 SECONDS=60 SCALE=2
SEED ?= $(shell date +%s)
SECONDS ?= 30
SCALE ?= 1
soak: build
	tools/soak $(BUILD) $(SEED) $(SECONDS) $(SCALE)

lint: build
	tools/check_lint $(BUILD)
