#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins. Run the build of deploy/system.toml first.
set -euo pipefail
cd "$(dirname "$0")/.."
for folder in review/[1-9]; do
  if [ -d "$folder/platform" ]; then
    go build -o "target/$folder" "./$folder/platform"
  fi
done
