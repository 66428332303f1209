# Common tasks; `make check` is what CI runs.

.PHONY: build test fuzz lint run check cover soak model measure

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -race ./...

fuzz:
	go test ./internal/http1 -run '^$$' -fuzz FuzzParser -fuzztime 30s
	go test ./internal/conf -run '^$$' -fuzz FuzzRead -fuzztime 30s

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet ./...
	go tool staticcheck ./...

# Runs a sender: `make run CONFIG=sender.toml`; docs/configuration.md shows a file.
run: build
	bin/chuteweir serve $(CONFIG)

# Coverage of the sender's own process by the tests of the program.
cover:
	mkdir -p bin/cover && rm -rf bin/cover/*
	GOCOVERDIR=$(CURDIR)/bin/cover go test -count 1 ./cmd/chuteweir
	go tool covdata percent -i bin/cover

# Many seeds of mixed faults, each audited: some 25 s a seed.
soak: build
	bin/chuteweir try --scenario mixed --seeds $(or $(SEEDS),200)

# The same in the model: thousands of seeds, some 15 a second.
model:
	CHUTEWEIR_SEEDS=$(or $(SEEDS),5000) go test -count 1 -timeout 60m ./internal/model -run TestRulesKept

# Reproduces the figures of docs/measurements; some 8 minutes, on an otherwise idle machine.
measure: build
	bash docs/measurements/measure.sh

check:
	bash .ci/run
