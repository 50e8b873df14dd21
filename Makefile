.PHONY: build test lint run demo

build:
	mkdir -p bin && go build -ldflags=-linkmode=external -o bin/ ./cmd/...

# Prints each violation by file and line. The rules and the packages that are exempt from one: tools/lint.toml.
lint:
	@hidden="$$(git ls-files --others --ignored --exclude-standard -- '*.go' go.mod go.sum)"; if [ -n "$$hidden" ]; then echo "kept out by .gitignore: $$hidden" >&2; exit 1; fi
	go -C tools build -o ../bin/tools/ tool ./...
	bin/tools/lint . tools

test: build lint
	.ci/gotest -race -count=1 ./...
	go -C tools test ./...

# Needs RELAY_CONFIG to name a configuration, as docs/architecture.md says.
run: build
	exec bin/olivedale

# Shows the product on this machine for a minute; ends by itself or on Ctrl-C.
demo: build
	bin/olivesim demo --report bin/demo.html
