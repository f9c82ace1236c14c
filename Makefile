# Build, test, lint and run. Needs Go 1.26 or newer; the race detector needs a C compiler.
export CGO_ENABLED ?= 1

.PHONY: build test lint run

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...

lint:
	@unformatted="$$(gofmt -l .)"; test -z "$$unformatted" || { echo "gofmt would change: $$unformatted" >&2; exit 1; }
	go vet ./...

# The random steps of the tests have a fixed seed, set in their files: every run gives the same verdict.
test: lint build
	go test -race -count=1 -timeout 5m ./...

# One dispatcher, as the NODE_ variables say.
run: build
	exec bin/gladepick
