#!/bin/sh
# Builds the programs of the cases of the second review, with their stand-ins, into target/review-2/.
# The daemon is built by the deploy file's own line.
set -e
cd "$(dirname "$0")/.."
for n in 4 5 6 7 8; do
	if [ -f "review/$n/main.go" ]; then
		go build -o target/review-2/ "./review/$n"
	fi
done
