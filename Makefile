# burdockhatch: build, test and demo. `make help` is the manual.

BUILD ?= build
# Work trees of one repository share the compiler cache.
export CCACHE_NOHASHDIR := 1
CXX := ccache g++
CLANGXX := clang++
OPT ?= -O2
CXXFLAGS := -std=c++20 $(OPT) -g1 -Wall -Wextra -Wno-unused-parameter -Werror=return-type \
            -I. -Isrc -pthread -DBOOST_ASIO_NO_DEPRECATED $(SANITIZE)
# Generated code and library headers are not held to the project's warnings.
CXXFLAGS += -Wno-maybe-uninitialized -Wno-array-bounds -Wno-stringop-overflow -Wno-restrict
LDFLAGS := -pthread $(SANITIZE)
ABSL_LIBS := $(shell pkg-config --libs absl_flags_parse absl_flat_hash_map 2>/dev/null)
CORE_LIBS := -lfmt -lboost_json $(ABSL_LIBS)
DAEMON_LIBS := -lzmq -lprotobuf $(CORE_LIBS)

PACKAGES := g++ make ccache pkg-config curl ca-certificates clang clang-format clang-tidy \
            libclang-rt-14-dev libboost1.81-dev libboost-json1.81-dev libzmq3-dev cppzmq-dev \
            libprotobuf-dev libabsl-dev libfmt-dev libgtest-dev libgmock-dev libxxhash-dev spin

# Modules that need sockets, protobuf or HTTP. Everything else in src/ is the embeddable core.
DAEMON_SOURCES := $(filter-out src/%_main.cc, \
                  $(wildcard src/*_http.cc src/http_*.cc src/*_daemon.cc src/bus.cc src/wire.cc \
                             src/daemon_*.cc src/*.pb.cc)) \
                  $(wildcard platform/*.cc)
MAIN_SOURCES := $(wildcard src/*_main.cc)
CORE_SOURCES := $(filter-out $(DAEMON_SOURCES) $(MAIN_SOURCES),$(wildcard src/*.cc))
TEST_SOURCES := $(filter-out tests/process_% tests/loopback_proxy.cc platform/tests/process_% platform/tests/fake_%, \
                $(wildcard tests/*.cc platform/tests/*.cc))
PROCESS_TEST_SOURCES := $(wildcard tests/process_*.cc platform/tests/process_*.cc) \
                        platform/tests/fake_platform.cc tests/loopback_proxy.cc tests/endless_server.cc
STANDIN_MAINS := $(wildcard standins/*_main.cc)
STANDIN_SOURCES := $(filter-out $(STANDIN_MAINS),$(wildcard standins/*.cc))
BENCH_SOURCES := $(wildcard bench/*.cc)
FUZZ_SOURCES := $(wildcard fuzz/*_fuzz.cc)

objects = $(patsubst %.cc,$(BUILD)/%.o,$(1))
CORE_LIB := $(BUILD)/libburdockhatch_core.a
DAEMON_LIB := $(BUILD)/libburdockhatch_daemon.a
STANDIN_LIB := $(BUILD)/libburdockhatch_standins.a
PROGRAMS := $(if $(wildcard src/daemon_main.cc),$(BUILD)/burdockhatchd) \
            $(if $(wildcard src/ctl_main.cc),$(BUILD)/burdockctl) \
            $(patsubst standins/%_main.cc,$(BUILD)/%,$(STANDIN_MAINS))

.PHONY: help setup all build test unit-test process-test sanitize-test demo bench model fuzz fuzz-programs fuzz-link format format-check \
        lint proto clean check
.DEFAULT_GOAL := help

help:
	@echo "burdockhatch"
	@echo
	@echo "  make demo          install packages, build, run the whole path on loopback"
	@echo "  make test          install packages, build, run all tests, models and fuzz corpora"
	@echo "  make build         build build/burdockhatchd, build/burdockctl and the stand-ins"
	@echo "  make unit-test     tests of the core and of single modules"
	@echo "  make process-test  tests with real processes on loopback"
	@echo "  make sanitize-test unit and process tests under AddressSanitizer and UBSan"
	@echo "                     (SANITIZE_FILTER=pattern)"
	@echo "  make bench         policy and control-cost figures with bounds and a signature"
	@echo "                     (BENCH_FLAGS=--only=NAME runs one experiment)"
	@echo "  make model         check the specifications in spec/ with spin"
	@echo "  make fuzz          run each fuzz target for FUZZ_SECONDS (default 30)"
	@echo "  make format        format all sources; format-check only reports"
	@echo "  make lint          clang-tidy on all sources"
	@echo "  make check         what CI runs: format-check, test, lint"
	@echo "  make proto         regenerate src/wire.pb.* (needs protobuf-compiler)"
	@echo "  make setup         install the Debian packages that the targets need"
	@echo "  make clean         remove $(BUILD)/"
	@echo
	@echo "  Variables: BUILD=dir  OPT=-O2  SANITIZE=-fsanitize=address,undefined"
	@echo "  Tests: FILTER=pattern passes --gtest_filter; seeds are printed by the tests that use one."

setup:
	@./tools/install-packages $(PACKAGES)

build: setup
	@$(MAKE) --no-print-directory all

all: $(PROGRAMS) $(CORE_LIB)

$(BUILD)/%.o: %.cc
	@mkdir -p $(dir $@)
	$(CXX) $(CXXFLAGS) -MMD -MP -c $< -o $@

$(CORE_LIB): $(call objects,$(CORE_SOURCES))
	@rm -f $@
	ar rcs $@ $^
$(DAEMON_LIB): $(call objects,$(DAEMON_SOURCES))
	@rm -f $@
	ar rcs $@ $^
$(STANDIN_LIB): $(call objects,$(STANDIN_SOURCES))
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/burdockhatchd: $(BUILD)/src/daemon_main.o $(DAEMON_LIB) $(CORE_LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ $(DAEMON_LIBS)
$(BUILD)/burdockctl: $(BUILD)/src/ctl_main.o $(DAEMON_LIB) $(CORE_LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ $(DAEMON_LIBS)
$(BUILD)/fake_%: $(BUILD)/standins/fake_%_main.o $(STANDIN_LIB) $(CORE_LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ $(CORE_LIBS)
$(BUILD)/unit_tests: $(call objects,$(TEST_SOURCES)) $(STANDIN_LIB) $(DAEMON_LIB) $(CORE_LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ -lgmock -lgtest -lgtest_main $(DAEMON_LIBS)
$(BUILD)/process_tests: $(call objects,$(PROCESS_TEST_SOURCES)) $(STANDIN_LIB) $(DAEMON_LIB) $(CORE_LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ -lgmock -lgtest -lgtest_main $(DAEMON_LIBS)
$(BUILD)/bench_main: $(call objects,$(BENCH_SOURCES)) $(DAEMON_LIB) $(CORE_LIB)
	$(CXX) $(LDFLAGS) -o $@ $^ $(DAEMON_LIBS)

# Fuzz targets are built by clang, apart from the other objects: see fuzz-programs.
$(BUILD)/fuzz_%: $(BUILD)/fuzz/%_fuzz.o $(DAEMON_LIB) $(CORE_LIB)
	$(CXX) $(LDFLAGS) -fsanitize=fuzzer -o $@ $^ $(DAEMON_LIBS)

FUZZ_PROGRAMS := $(patsubst fuzz/%_fuzz.cc,$(BUILD)/fuzz_%,$(FUZZ_SOURCES))
fuzz-link: $(FUZZ_PROGRAMS)
fuzz-programs:
	@$(MAKE) --no-print-directory -j$(JOBS) BUILD=$(BUILD)/clang CXX="ccache $(CLANGXX)" OPT=-O1 \
	  SANITIZE=-fsanitize=fuzzer-no-link,address,undefined fuzz-link

unit-test: $(BUILD)/unit_tests
	$(BUILD)/unit_tests --gtest_brief=1 $(if $(FILTER),--gtest_filter=$(FILTER))

# Tests under AddressSanitizer and UndefinedBehaviorSanitizer. SANITIZE_FILTER
# chooses the tests; a long-lived leak is reported at the exit of a program.
SANITIZE_FLAGS := -fsanitize=address,undefined -fno-sanitize-recover=undefined
SANITIZE_FILTER ?= *
sanitize-test:
	@$(MAKE) --no-print-directory -j$(JOBS) BUILD=$(BUILD)/sanitized OPT=-O1 \
	  SANITIZE="$(SANITIZE_FLAGS)" all $(BUILD)/sanitized/unit_tests $(BUILD)/sanitized/process_tests
	$(BUILD)/sanitized/unit_tests --gtest_brief=1 --gtest_filter='$(SANITIZE_FILTER)'
	BUILD=$(BUILD)/sanitized $(BUILD)/sanitized/process_tests --gtest_brief=1 --gtest_filter='$(SANITIZE_FILTER)'

process-test: all $(if $(PROCESS_TEST_SOURCES),$(BUILD)/process_tests)
	$(if $(PROCESS_TEST_SOURCES),$(BUILD)/process_tests --gtest_brief=1 $(if $(FILTER),--gtest_filter=$(FILTER)))

test: setup
	@$(MAKE) --no-print-directory -j$(JOBS) all $(BUILD)/unit_tests \
	  $(if $(PROCESS_TEST_SOURCES),$(BUILD)/process_tests)
	@$(MAKE) --no-print-directory fuzz-programs
	@BUILD=$(BUILD) ./tools/run-tests

demo: setup
	@$(MAKE) --no-print-directory -j$(JOBS) all
	@BUILD=$(BUILD) ./tools/demo

bench: $(BUILD)/bench_main
	@$(BUILD)/bench_main $(BENCH_FLAGS)

model:
	@BUILD=$(BUILD) ./tools/run-models

fuzz: fuzz-programs
	@BUILD=$(BUILD) ./tools/run-fuzzers $(or $(FUZZ_SECONDS),30)

SOURCES := $(filter-out %.pb.cc %.pb.h,$(wildcard $(foreach d,src platform platform/tests standins tests bench fuzz,$(d)/*.cc $(d)/*.h)))
format:
	clang-format -i $(SOURCES)
format-check:
	clang-format --dry-run -Werror $(SOURCES)
lint:
	@BUILD=$(BUILD) CXXFLAGS="$(CXXFLAGS)" ./tools/lint $(filter %.cc,$(SOURCES))

check: test
	@$(MAKE) --no-print-directory format-check
	@$(MAKE) --no-print-directory lint

proto:
	protoc --proto_path=proto --cpp_out=src proto/wire.proto
	mv src/wire.pb.cc src/wire.pb.cc.tmp && sed 's|"wire.pb.h"|"src/wire.pb.h"|' src/wire.pb.cc.tmp > src/wire.pb.cc
	rm -f src/wire.pb.cc.tmp

clean:
	rm -rf $(BUILD)

JOBS ?= 8
-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
