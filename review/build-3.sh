#!/usr/bin/env bash
# Builds the stand-ins of the cases 12 to 14.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -o target/review-trial ./review/trial
