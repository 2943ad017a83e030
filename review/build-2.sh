#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases 4 to 8, which are one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/review-2 ./review/second
