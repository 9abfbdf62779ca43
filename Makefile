GO ?= go
PKGS ?= ./...
TIMEOUT ?= 25m

.PHONY: test build fmt vet lint demo soak relay-soak relay-soak-large bench capacity known-red regression experiments docs-check mixed-fleet ingress-test

## test: format check, vet, lint, build and all tests under the race detector. The tests of
## internal/ingresstest run last and apart, see ingress-test.
test: fmt vet lint build
	@all=$$($(GO) list $(PKGS)) || exit 1; \
	others=$$(echo "$$all" | grep -v '/internal/ingresstest$$'); \
	if [ -n "$$others" ]; then $(GO) test -race -timeout $(TIMEOUT) $$others || exit 1; fi; \
	if [ "$$others" != "$$all" ]; then $(MAKE) ingress-test; fi

## ingress-test: many misbehaving callers of the daemons. They need the machine for
## themselves, and the race detector would change the memory of the test.
ingress-test:
	$(GO) test -count=1 -p 1 -timeout $(TIMEOUT) ./internal/ingresstest

fmt:
	@bad=$$(gofmt -l $$(git ls-files '*.go')); \
	if [ -n "$$bad" ]; then echo "gofmt would change: $$bad"; exit 1; fi

vet:
	$(GO) vet $(PKGS)

lint:
	$(GO) tool staticcheck $(PKGS)

build:
	$(GO) build ./...

bench:
	$(GO) test -run '^$$' -bench . -benchmem $(PKGS)

## demo: run the main job on stand-ins and print what happened to each request.
demo:
	$(GO) run ./internal/demo

SEED ?= 1
RUNS ?= 40

## soak: seeded runs under faults, a table of violations, and the command that
## repeats each failure. SEED is the first seed, RUNS their number. FAULTS (names
## joined by +) and DOMAINS fix what the seed would choose; no run starts after
## MINUTES; SOAK_OUT is a directory for the records and logs of failed runs.
soak:
	SEED=$(SEED) RUNS=$(RUNS) FAULTS=$(FAULTS) DOMAINS=$(DOMAINS) MINUTES=$(MINUTES) SOAK_OUT=$(SOAK_OUT) \
		$(GO) test -count=1 -timeout 2h -v ./internal/soak

## relay-soak: seeded runs of the users' platform's daemon under faults. SEED is the first
## seed, RUNS their number, FAULTS (names joined by +) fixes the faults, SOAK_OUT is a
## directory for the logs of failed runs.
relay-soak:
	SEED=$(SEED) RUNS=$(RUNS) FAULTS=$(FAULTS) SOAK_OUT=$(SOAK_OUT) \
		$(GO) test -count=1 -timeout 2h -v ./internal/soak/relaysoak

HOSTS ?= 40

## relay-soak-large: one run with HOSTS hosts in each of four domains.
relay-soak-large:
	SOAK_LARGE=$(HOSTS) $(GO) test -count=1 -timeout 10m -v ./internal/soak/relaysoak

BENCH ?= fleetbench
SITES ?=

## regression: play the standard days of the deployment files in SITES with the users' bench
## (BENCH is its path). See CONTRIBUTING.md for the set.
regression:
	@test -n "$(SITES)" || { echo "SITES is empty: set it to the paths of deployment files"; exit 1; }
	for site in $(SITES); do $(BENCH) score $$site --jobs 3 --why "regression run" || exit 1; done

## capacity: measure what a host costs and rewrite the tables of docs/CAPACITY.md.
capacity:
	$(GO) run ./internal/capacity/report

## known-red: the tests of KNOWN-RED.txt, whose verdict is ignored.
known-red:
	-KNOWN_RED=1 $(GO) test -count=1 -timeout $(TIMEOUT) -v -run '^TestKnownRed' ./internal/soak

## experiments: run loads through real processes; results go to out/experiments.
experiments:
	$(GO) run ./internal/experiments

## docs-check: run the commands of docs/operators.md against a local fleet.
docs-check:
	DOCS_CHECK=1 $(GO) test -count 1 -timeout 5m ./internal/docscheck

## mixed-fleet: fleets in which every second host runs a program of an earlier build, whose
## directory is OLD (an absolute path). SEED and RUNS as for soak.
mixed-fleet:
	@test -x "$(OLD)/mulberrystream" -a -x "$(OLD)/mulberryrelay" || { echo "OLD is not a directory with the programs"; exit 1; }
	OLD_PROGRAMS=$(OLD) $(GO) test -count=1 -timeout $(TIMEOUT) -v ./internal/drills
	OLD_PROGRAMS=$(OLD) SEED=$(SEED) RUNS=$(RUNS) $(GO) test -count=1 -timeout 2h -v ./internal/soak
	OLD_PROGRAMS=$(OLD) SEED=$(SEED) RUNS=$(RUNS) $(GO) test -count=1 -timeout 2h -v ./internal/soak/relaysoak
