.PHONY: build test lint run demo

build:
	mkdir -p bin && go build -ldflags=-linkmode=external -o bin/ ./cmd/...

lint:
	@unformatted="$$(gofmt -l .)"; if [ -n "$$unformatted" ]; then echo "gofmt needed: $$unformatted" >&2; exit 1; fi
	@hidden="$$(git ls-files --others --ignored --exclude-standard -- '*.go' go.mod go.sum)"; if [ -n "$$hidden" ]; then echo "kept out by .gitignore: $$hidden" >&2; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

test: build lint
	go test -race -count=1 ./...

# Needs RELAY_CONFIG to name a configuration, as docs/architecture.md says.
run: build
	exec bin/olivedale

# Shows the product on this machine for a minute; ends by itself or on Ctrl-C.
demo: build
	bin/olivelab demo --report bin/demo.html
