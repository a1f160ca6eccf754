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
	go test -p 1 ./...
