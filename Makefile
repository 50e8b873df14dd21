.PHONY: build test lint run demo

build:
	mkdir -p bin && go build -ldflags=-linkmode=external -o bin/ ./cmd/...

# Prints each violation with its file and line. Rules and exempt packages are listed in tools/lint.toml.
lint:
	@hidden="$$(git ls-files --others --ignored --exclude-standard -- '*.go' go.mod go.sum)"; if [ -n "$$hidden" ]; then echo "source files ignored by .gitignore: $$hidden" >&2; exit 1; fi
	go -C tools build -o ../bin/tools/ tool ./...
	bin/tools/lint . tools

test: build lint
	.ci/gotest -race -count=1 ./...
	go -C tools test ./...

# Requires RELAY_CONFIG to name a configuration file; see docs/architecture.md.
run: build
	exec bin/olivedale

# Demonstrates the product on this machine for about a minute; Ctrl-C ends it earlier.
demo: build
	bin/olivesim demo --report bin/demo.html
