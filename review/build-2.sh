#!/usr/bin/env bash
# Builds the programs that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -ldflags=-linkmode=external -o target/ ./cmd/...
for case in 6 7; do
	go build -trimpath -o "target/review-$case" "./review/$case"
done
