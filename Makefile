# Regenerates the wire types from wire.proto.
.PHONY: generate
generate:
	go tool -modfile=tools/buf/go.mod buf generate

.PHONY: format
format:
	go tool -modfile=tools/go.mod goimports -local jacinthfront.dev/jacinthfront -w cmd internal

.PHONY: lint
lint:
	go tool -modfile=tools/go.mod golangci-lint run ./...

.PHONY: test
test:
	go test ./...
