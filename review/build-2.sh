#!/usr/bin/env bash
# Builds what the scripts of the second review start, beside the program of the deploy
# file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
for n in 6 7 8 9; do
	go build -o "target/review-$n" "./review/$n"
done
