#!/bin/sh
# Builds what the scripts of the cases start, after the build of the deploy file: the project's programs again, and the
# drivers with their stand-ins.
set -eu
cd "$(dirname "$0")/.."
go build -trimpath -ldflags=-linkmode=external -o target/ ./cmd/...
for folder in review/[1-5]; do
	if [ -f "$folder/main.go" ]; then
		go build -trimpath -o "target/review-$(basename "$folder")" "./$folder"
	fi
done
