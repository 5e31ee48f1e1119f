# One target per task; each target installs what it needs on a fresh machine.
BUILD ?= build
JOBS ?= $(shell nproc)
PACKAGES = g++ cmake ninja-build ccache clang-format clang-tidy libasio-dev libcapnp-dev libcpp-httplib-dev libhttp-parser-dev \
  libspdlog-dev libfmt-dev librapidcheck-dev libboost-dev libboost-program-options-dev nlohmann-json3-dev libssl-dev \
  libgtest-dev libgmock-dev zlib1g-dev libbrotli-dev

.PHONY: setup build test demo bench format check-format lint clean

setup:
	@scripts/setup.sh $(PACKAGES)

build: setup
	@cmake -S . -B $(BUILD) -G Ninja -DDAISYDRIFT_WARNINGS_AS_ERRORS=ON > /dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@scripts/run-tests.sh $(BUILD)

demo: build
	@scripts/demo.sh $(BUILD)

bench: build
	@for program in $(BUILD)/bench/*; do $$program || exit 1; done

format: setup
	@scripts/format.sh --write

check-format: setup
	@scripts/format.sh --check

lint: setup
	@cmake -S . -B $(BUILD) -G Ninja -DDAISYDRIFT_WARNINGS_AS_ERRORS=ON > /dev/null
	@scripts/lint.sh $(BUILD) $(JOBS)

clean:
	@rm -rf $(BUILD)
