GO ?= go
PKGS ?= ./...
TIMEOUT ?= 10m

.PHONY: test build fmt vet lint demo soak bench docs-check

## test: format check, vet, lint, build and all tests under the race detector.
test: fmt vet lint build
	$(GO) test -race -timeout $(TIMEOUT) $(PKGS)
	@test ! -f KNOWN-RED.txt || cat KNOWN-RED.txt

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

## docs-check: run the commands of docs/operators.md against a local fleet.
docs-check:
	DOCS_CHECK=1 $(GO) test -count 1 -timeout 5m ./internal/docscheck
