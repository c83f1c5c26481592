GO ?= go
BIN := bin
SKIP := $(shell scripts/known-red.sh)
# Seed of the property tests in `make test`; `make fuzz` draws fresh ones.
SEED ?= 1
# Checks per property of the claims, which take longer than others, and time for each fuzz test of a decoder.
CLAIM_CHECKS ?= 200
FUZZ_TIME ?= 20s
FUZZ_WORKERS ?= 4
# Packages with one fuzz test.
FUZZ_PACKAGES := ./protocol/frame ./protocol/sse ./platform ./transport/ingress ./transport/loadshare ./transport/relay ./transport/staging

.PHONY: build test demo lint generate fuzz soak

build:
	$(GO) build -o $(BIN)/ ./cmd/...
	$(GO) build -C bench -o ../$(BIN)/ ./cmd/...

demo: build
	$(BIN)/gtbench demo $(DEMO_FLAGS)

# Simulations in virtual time, which use one goroutine each; the race detector makes them take minutes.
SIMULATIONS := ./internal/rolloutsim

test: build
	RAPID_SEED=$(SEED) $(GO) test -race -skip '$(SKIP)' $$($(GO) list ./... | grep -v /internal/rolloutsim$$)
	RAPID_SEED=$(SEED) $(GO) test -skip '$(SKIP)' $(SIMULATIONS)
	RAPID_SEED=$(SEED) $(GO) test -C bench -race -skip '$(SKIP)' ./...

lint:
	scripts/lint.sh

generate:
	scripts/generate.sh

# Runs the property tests with a fresh seed and more checks; the seed is printed so that a failure can be repeated.
fuzz:
	@seed=$$(od -An -N4 -tu4 /dev/urandom | tr -d ' '); echo "seed $$seed"; \
	RAPID_SEED=$$seed RAPID_CHECKS=2000 $(GO) test -count=1 ./coordination/... ./state/... && \
	RAPID_SEED=$$seed RAPID_CHECKS=$(CLAIM_CHECKS) $(GO) test -count=1 ./transport/claims/... && \
	for package in $(FUZZ_PACKAGES); do \
		$(GO) test -run '^$$' -fuzz . -fuzztime $(FUZZ_TIME) -parallel $(FUZZ_WORKERS) $$package || exit 1; \
	done

# Runs the fault soak with the seeds that are not part of `make test`, and SOAK_COUNT consecutive ones from SOAK_SEED.
SOAK_SEED ?= $(shell od -An -N2 -tu2 /dev/urandom | tr -d ' ')
SOAK_COUNT ?= 10
soak: build
	$(BIN)/gtbench soak --seed 1
	$(BIN)/gtbench soak --seed 1 --crashing-prompts
	$(BIN)/gtbench soak --seed 3 --count 3 --faults 2 --evacuations --lose-all
	$(BIN)/gtbench soak --seed 2 --faults 3 --request-limits
	$(BIN)/gtbench soak --seed $(SOAK_SEED) --count $(SOAK_COUNT) --parallel 2 --faults 0 --standstills-at-versions
	$(BIN)/gtbench soak --seed $(SOAK_SEED) --count $(SOAK_COUNT) --parallel 2
