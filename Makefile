CC ?= gcc
B ?= build
PKG = glib-2.0 yajl libprotobuf-c libwebsockets
CFLAGS ?= -O2 -g
WARN = -std=gnu11 -Wall -Wextra -Werror
INC = $(addprefix -I,$(wildcard lib/*)) -Iplatform -Iemulator -Itests -Itests/gateway -I$(B) $(shell pkg-config --cflags $(PKG))
LIBS = $(shell pkg-config --libs $(PKG)) -lpcl -lhttp_parser -lz -lm -lpthread
LIBRARY = $(patsubst %.c,$(B)/%.o,$(wildcard lib/*/*.c)) $(B)/wire.pb-c.o
PLATFORM = $(patsubst %.c,$(B)/%.o,$(wildcard platform/*.c))
EMULATOR = $(patsubst %.c,$(B)/%.o,$(wildcard emulator/*.c))
# test folders mirror the folders of lib; tests/model and the programs in tests/http have separate rules below
TEST_FOLDERS = compatibility configuration controlplane doctor emulator fleet gateway http membership router runtime
TEST_PROGRAMS = $(addprefix tests/http/,driver.c gateway.c)
TEST_SOURCES = $(filter-out $(TEST_PROGRAMS),$(wildcard tests/*.c $(addsuffix /*.c,$(addprefix tests/,$(TEST_FOLDERS)))))
TESTS = $(patsubst %.c,$(B)/%.o,$(TEST_SOURCES))
PROGS = $(patsubst bin/%.c,$(B)/bin/%,$(wildcard bin/*.c)) $(B)/bin/asterfall-node

all: $(PROGS)

$(B)/wire.pb-c.c $(B)/wire.pb-c.h &: lib/protocol/wire.proto
	@mkdir -p $(B)
	@cd lib/protocol && protoc-c --c_out=$(abspath $(B)) wire.proto

# for the linters: the generated header, and the compile flags
generated: $(B)/wire.pb-c.h
compile-flags:
	@echo $(filter -std=%,$(WARN)) $(INC)

$(B)/wire.pb-c.o: $(B)/wire.pb-c.c
	@$(CC) $(CFLAGS) $(WARN) $(INC) -c $< -o $@

$(B)/%.o: %.c $(B)/wire.pb-c.h
	@mkdir -p $(dir $@)
	@$(CC) $(CFLAGS) $(WARN) $(INC) -MMD -MP -c $< -o $@

$(B)/libasterfall.a: $(LIBRARY)
	@rm -f $@; ar rcs $@ $^
$(B)/libplatform.a: $(PLATFORM)
	@rm -f $@; ar rcs $@ $^
$(B)/libemulator.a: $(EMULATOR)
	@rm -f $@; ar rcs $@ $^

OURS = $(B)/libplatform.a $(B)/libemulator.a $(B)/libasterfall.a
$(B)/bin/%: $(B)/bin/%.o $(OURS)
	@$(CC) $(CFLAGS) $< $(OURS) $(LIBS) -o $@

$(B)/bin/asterfall-node: $(B)/platform/bin/asterfall-node.o $(OURS)
	@mkdir -p $(B)/bin
	@$(CC) $(CFLAGS) $< $(OURS) $(LIBS) -o $@

$(B)/bin/tests: $(TESTS) $(OURS)
	@mkdir -p $(B)/bin
	@$(CC) $(CFLAGS) $(TESTS) $(OURS) $(LIBS) -lcunit -o $@

$(B)/bin/model-check: $(patsubst %.c,$(B)/%.o,$(wildcard tests/model/*.c)) $(OURS)
	@mkdir -p $(B)/bin
	@$(CC) $(CFLAGS) $(patsubst %.c,$(B)/%.o,$(wildcard tests/model/*.c)) $(OURS) $(LIBS) -o $@

# ignore missing headers: dependency files of an earlier build may still name a header that was moved
%.h: ;

BENCH = growth load policies
$(addprefix $(B)/bin/,$(BENCH)): $(B)/bin/%: $(B)/bench/%.o $(OURS)
	@mkdir -p $(B)/bin
	@$(CC) $(CFLAGS) $^ $(LIBS) -o $@

$(B)/bin/scale: $(B)/bench/scale.o $(OURS)
	@mkdir -p $(B)/bin
	@$(CC) $(CFLAGS) $^ $(LIBS) -o $@

# test programs for the HTTP checks: a listener over lib/http (scripts/http-check) and a gateway (tests/http/*.py)
$(addprefix $(B)/bin/,http-driver http-gateway): $(B)/bin/http-%: $(B)/tests/http/%.o $(OURS)
	@mkdir -p $(B)/bin
	@$(CC) $(CFLAGS) $^ $(LIBS) -o $@

bench: $(addprefix $(B)/bin/,$(BENCH) scale)
tests: $(B)/bin/tests
model-check: $(B)/bin/model-check

clean:
	rm -rf build build-san

.PHONY: all clean tests bench generated compile-flags
.SECONDARY:
-include $(shell find $(B) -name '*.d' 2>/dev/null)

SAN = -O1 -g -fsanitize=address,undefined,float-cast-overflow \
  -fno-sanitize-recover=undefined,float-cast-overflow -fno-omit-frame-pointer
export ASAN_OPTIONS = detect_stack_use_after_return=0
export SEEDS ?= 6

# checks the formatting of C sources and lints the scripts; scripts/static-analysis lints the C sources
lint:
	git ls-files '*.c' '*.h' | xargs -P$$(nproc) -n8 clang-format --dry-run -Werror
	scripts/lint-scripts

# checks names and codes, packages and help texts, runs the model checker, the tests with sanitizers and the HTTP checks,
# and ends with the smoke test over real processes
check: lint
	scripts/words
	scripts/packages-check
	$(MAKE) -s -j$$(nproc) B=build-san CFLAGS="$(SAN)" all build-san/bin/tests build-san/bin/http-gateway
	$(MAKE) -s -j$$(nproc) all
	scripts/outward-check
	$(MAKE) -s build/bin/model-check
	build/bin/model-check
	BUILD=build-san LIMIT=3000 scripts/tests-all
	scripts/http-check
	tests/http/bytes_check.py
	tests/http/fuzz_check.py
	tests/http/drain_check.py
	$(MAKE) -s build/bin/http-gateway
	tests/http/peer_check.py
	tests/http/fault_check.py
	scripts/smoke

.PHONY: check lint
