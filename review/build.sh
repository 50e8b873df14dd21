#!/bin/sh
# Builds the stand-ins of the cases. They are one program of the standard library alone, in a module of its own, so that
# neither the build nor the tests of the project see it.
set -eu
cd "$(dirname "$0")/stand"
mkdir -p ../bin
GOFLAGS=-mod=mod GOWORK=off CGO_ENABLED=0 go build -o ../bin/stand .
