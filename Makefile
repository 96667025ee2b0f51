# Common commands for developers and CI; CMake builds.
MAKEFLAGS += --no-print-directory
JOBS ?= $(shell nproc)
DURATION_S ?= 15

.PHONY: all deps demo demo-home check format lint test test-tsan clean

all: build/Makefile
	cmake --build build -j$(JOBS)

build/Makefile: CMakeLists.txt
	cmake -S . -B build

deps:
	scripts/install-deps

demo: deps
	$(MAKE) all
	scripts/demo

demo-home: deps
	$(MAKE) all
	scripts/demo-home $(DURATION_S)

check: deps
	scripts/check

format:
	scripts/format --fix

lint: build/Makefile
	scripts/format
	scripts/lint

test:
	scripts/test address,undefined build-asan

test-tsan:
	scripts/test thread build-tsan

clean:
	cmake -E rm -rf build build-asan build-tsan
