# Regenerates the wire types from wire.proto.
.PHONY: generate
generate:
	go tool -modfile=tools/buf/go.mod buf generate

.PHONY: format
format:
	find cmd internal platform -name '*.go' -not -name '*.pb.go' -print0 | xargs -0 go tool -modfile=tools/go.mod goimports -local jacinthfront.dev/jacinthfront -w

.PHONY: lint
lint:
	go tool -modfile=tools/go.mod golangci-lint run --allow-parallel-runners ./...

.PHONY: test
test:
	go test -p 1 -timeout 20m ./...

# Fifty seeds of faults over the real programs; SEED is the first one.
SEED ?= 1
.PHONY: soak
soak:
	go test ./platform -run 'TestSoak|TestChurn|TestVersionSoak|TestOutOfStep' -timeout 180m -v -soak-first $(SEED) -soak-seeds 50
