# Targets: all, check, unit, demo, bench, fuzz, format, format-check, lint,
# packages, reference, clean.  SANITIZE=address,undefined or SANITIZE=thread
# builds into a folder of its own.

CC ?= cc
SANITIZE ?=
comma := ,
BUILD := build$(if $(SANITIZE),-$(firstword $(subst $(comma), ,$(SANITIZE))))

PACKAGES := apr-1 libmicrohttpd msgpack glib-2.0 json-glib-1.0 libxxhash \
            libevent
CFLAGS_BASE := -std=gnu11 -O2 -g -Wall -Wextra -Wshadow -Wstrict-prototypes \
               -Wmissing-prototypes -Wno-unused-parameter -Werror \
               -fno-omit-frame-pointer
CPPFLAGS_BASE := -Isrc $(shell pkg-config --cflags $(PACKAGES)) -D_GNU_SOURCE
LIBS := $(shell pkg-config --libs $(PACKAGES)) -lm -lpthread -lhttp_parser
ifneq ($(SANITIZE),)
CFLAGS_BASE += -fsanitize=$(SANITIZE) -fno-sanitize-recover=all
LDFLAGS_BASE := -fsanitize=$(SANITIZE)
endif

# libalmondvale.a has all files of src/ except for the two programs and the
# ctl_*.c modules, which are linked into almondvalectl only.
PROGRAMS := almondvaled almondvalectl
CTL_SRC := $(wildcard src/ctl_*.c)
LIB_SRC := $(filter-out $(PROGRAMS:%=src/%.c) $(CTL_SRC), $(wildcard src/*.c))
LIB_OBJ := $(LIB_SRC:src/%.c=$(BUILD)/%.o)
CTL_OBJ := $(CTL_SRC:src/%.c=$(BUILD)/%.o)
PROGRAM_BIN := $(foreach p,$(PROGRAMS),$(if $(wildcard src/$(p).c),$(BUILD)/$(p)))
PLATFORM_SRC := $(filter-out platform/almondvaled_platform.c, $(wildcard platform/*.c))
PLATFORM_OBJ := $(PLATFORM_SRC:platform/%.c=$(BUILD)/platform-objects/%.o)
STANDIN_BIN := $(patsubst standins/%.c,$(BUILD)/%,$(wildcard standins/*.c))
BENCH_BIN := $(patsubst bench/%.c,$(BUILD)/%,$(wildcard bench/*.c))
TEST_BIN := $(patsubst tests/%.c,$(BUILD)/tests/%,$(wildcard tests/test_*.c))
FORMAT_SRC := $(wildcard src/*.[ch] platform/*.[ch] tests/*.[ch] standins/*.[ch] bench/*.[ch])

.PHONY: all check unit packages demo bench fuzz format format-check lint \
        reference clean
.SECONDARY:

all: $(BUILD)/libalmondvale.a $(BUILD)/libplatform.a $(PROGRAM_BIN) \
     $(BUILD)/almondvaled-platform $(STANDIN_BIN) $(BENCH_BIN)

$(BUILD)/libalmondvale.a: $(LIB_OBJ)
	rm -f $@
	ar rcs $@ $^

$(BUILD)/%.o: src/%.c
	@mkdir -p $(@D)
	@echo CC $@
	@$(CC) $(CPPFLAGS_BASE) $(CPPFLAGS) $(CFLAGS_BASE) $(CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/almondvaled: $(BUILD)/almondvaled.o $(BUILD)/libalmondvale.a
	@echo CC $@
	@$(CC) $(LDFLAGS_BASE) $^ $(LIBS) -o $@

$(BUILD)/almondvalectl: $(BUILD)/almondvalectl.o $(CTL_OBJ) $(BUILD)/libalmondvale.a
	@echo CC $@
	@$(CC) $(LDFLAGS_BASE) $^ $(LIBS) -o $@

$(BUILD)/platform-objects/%.o: platform/%.c
	@mkdir -p $(@D)
	@echo CC $@
	@$(CC) $(CPPFLAGS_BASE) -Iplatform $(CPPFLAGS) $(CFLAGS_BASE) $(CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/libplatform.a: $(PLATFORM_OBJ)
	rm -f $@
	ar rcs $@ $^

$(BUILD)/almondvaled-platform: $(BUILD)/platform-objects/almondvaled_platform.o $(BUILD)/libplatform.a $(BUILD)/libalmondvale.a
	@echo CC $@
	@$(CC) $(LDFLAGS_BASE) $^ $(LIBS) -o $@

$(BUILD)/%: standins/%.c $(BUILD)/libalmondvale.a
	@echo CC $@
	@$(CC) $(CPPFLAGS_BASE) $(CPPFLAGS) $(CFLAGS_BASE) -MMD -MP -MF $@.d $(LDFLAGS_BASE) $< $(BUILD)/libalmondvale.a $(LIBS) -o $@

$(BUILD)/%: bench/%.c $(BUILD)/libalmondvale.a
	@echo CC $@
	@$(CC) $(CPPFLAGS_BASE) $(CPPFLAGS) $(CFLAGS_BASE) -MMD -MP -MF $@.d $(LDFLAGS_BASE) $< $(BUILD)/libalmondvale.a $(LIBS) -o $@

$(BUILD)/tests/%: tests/%.c $(BUILD)/libplatform.a $(BUILD)/libalmondvale.a
	@mkdir -p $(@D)
	@echo CC $@
	@$(CC) $(CPPFLAGS_BASE) $(CPPFLAGS) $(CFLAGS_BASE) -Itests -Iplatform $(shell pkg-config --cflags check) -MMD -MP -MF $@.d $(LDFLAGS_BASE) $< $(BUILD)/libplatform.a $(BUILD)/libalmondvale.a $(LIBS) $(shell pkg-config --libs check) -o $@

packages:
	tools/install-packages

# Runs the fuzzer and the test programs of one build.  `make check` first
# installs missing packages; it is the test command of README.md.
unit: all $(TEST_BIN)
	$(BUILD)/fuzz --runs 5000 --seed 1
	tools/run-tests $(BUILD) $(TEST_BIN)

check: packages
	$(MAKE) unit

# Runs more mutations than `make unit`, with the sanitizers and a new seed.
fuzz:
	$(MAKE) SANITIZE=address,undefined all
	build-address/fuzz --runs 500000 --seed $$(date +%s)

format:
	clang-format -i $(FORMAT_SRC)

format-check:
	clang-format --dry-run -Werror $(FORMAT_SRC)

lint:
	cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 -j $$(nproc) \
	  --enable=warning,performance,portability \
	  --suppress=missingIncludeSystem -Isrc -Iplatform $(wildcard src/*.c platform/*.c standins/*.c bench/*.c)
	printf '%s\n' $(wildcard src/*.c platform/*.c standins/*.c bench/*.c) \
	  | xargs -P $$(nproc) -I{} clang-tidy --quiet {} -- -std=gnu11 -Iplatform $(CPPFLAGS_BASE)

# Runs a small deployment on loopback and checks reads, bookings and uploads, a
# trace and the revocation of a key.
demo: packages
	$(MAKE) all
	tools/demo $(BUILD)

# Compares almondvale with the naive policies on real daemons; see
# docs/measurements.md.
bench: all
	tools/bench $(BUILD)

# Regenerates the reference tables of docs/OPERATIONS.md and docs/errors.md.
reference: $(BUILD)/reference
	tools/write-reference $(BUILD)/reference docs/OPERATIONS.md
	tools/write-reference $(BUILD)/reference docs/errors.md

clean:
	rm -rf build build-*

-include $(wildcard $(BUILD)/*.d) $(wildcard $(BUILD)/platform-objects/*.d) $(wildcard $(BUILD)/tests/*.d)
