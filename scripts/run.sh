#!/usr/bin/env bash
# Shows the main job on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
bin/boragehub --version
