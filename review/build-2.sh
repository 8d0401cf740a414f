#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 9 start, into target/review-2. Run the build of deploy/system.toml first.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for n in 6 7 8 9; do
	go build -o "target/review-2/case-$n" "./review/$n/platform"
done
