#!/bin/sh
# Builds the programs of the cases into review/bin. They need only Go's standard library.
set -e
cd "$(dirname "$0")"
mkdir -p bin
go build -o bin/ ./...
