#!/usr/bin/env bash
# Builds the program that plays the scripts of the second review, with its stand-ins, beside the product's programs.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-2 ./review/standin2
go build -tags review2 -o target/review-2-10 ./review/standin10
