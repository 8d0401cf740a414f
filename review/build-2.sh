#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start, into target/review-2. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/6 review/7 review/8 review/9 review/10; do
	if [ -d "$case/platform/case" ]; then
		go build -o "target/review-2/case-${case#review/}" "./$case/platform/case"
	fi
done
