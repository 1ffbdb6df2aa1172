#!/usr/bin/env bash
# Usage: scripts/build.sh [build folder] [sanitizer].  Configures and builds everything.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
cmake -S . -B "$folder" -G Ninja -DHAWTHORNNOTCH_SANITIZE="${2:-}" >/dev/null
cmake --build "$folder" -- -j "${JOBS:-$(nproc)}"
