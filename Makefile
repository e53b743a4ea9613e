GOTOOL = go tool -modfile=tools/go.mod
LINT = $(GOTOOL) golangci-lint

.PHONY: demo multi test fmt lint build known-red bench generate docs-check

# Runs a whole deployment in one process and sends it a load.
demo:
	go run ./cmd/medlargw-standin demo --json --seconds 10

# Runs six entries as processes through a planned stop, an outage and a loss.
multi:
	scripts/multi

# Runs all tests but those that KNOWN-RED.txt lists.
test:
	go test -race -skip "$$(.ci/known-red --pattern)" ./...

# Runs the tests that KNOWN-RED.txt lists; they are expected to fail.
known-red:
	.ci/known-red --run

build:
	go build -o bin/ ./cmd/...

fmt:
	$(LINT) fmt

lint:
	$(LINT) fmt --diff
	$(LINT) run

bench:
	go test -run '^$$' -bench . -benchmem ./...

# Needs protoc, protoc-gen-go and protoc-gen-twirp; never needed to build.
generate:
	protoc -I . --go_out=. --go_opt=module=medlargw.example/medlargw \
		--twirp_out=. --twirp_opt=module=medlargw.example/medlargw messenger/wire/wire.proto

# Runs the commands of README.md and of the operators' pages.
docs-check:
	scripts/docs-check
