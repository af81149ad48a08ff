GO ?= go

.PHONY: build run run-processes test race lint format format-check generate generated-check models tools bench bench-policy bench-scale bench-processes ci

build:
	$(GO) build -o bin/snipeshed ./cmd/snipeshed
	$(GO) build -o bin/standin ./cmd/standin
	$(GO) vet ./...

run: ## Starts the stand-in services and three instances in one process on loopback.
	@$(GO) build -o bin/standin ./cmd/standin && exec bin/standin demo

run-processes: build ## Starts the same services and instances as separate processes.
	scripts/processes.sh

test:
	scripts/test.sh

race:
	scripts/test.sh -race

tools:
	scripts/tools.sh

format: tools
	.bin/gofumpt -w $$(git ls-files '*.go' | grep -v -E '\.(pb|twirp)\.go$$')

format-check: tools
	@test -z "$$(.bin/gofumpt -l $$(git ls-files '*.go' | grep -v -E '\.(pb|twirp)\.go$$'))" || { echo "run make format"; exit 1; }

lint: tools
	.bin/golangci-lint run ./...

generate: tools
	scripts/generate.sh

generated-check: tools
	scripts/current.sh

models: ## Checks the Promela models of the protocols; needs spin.
	models/check.sh

bench:
	$(GO) run ./cmd/standin bench

bench-policy:
	$(GO) run ./cmd/standin bench-policy

bench-scale:
	$(GO) run ./cmd/standin bench-scale --polls

bench-processes: build ## Measures fleets of real processes.
	scripts/scale.sh 4 16 64 128

ci:
	.ci/run
