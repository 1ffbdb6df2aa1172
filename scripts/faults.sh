#!/usr/bin/env bash
# Usage: scripts/faults.sh [build folder].  Runs the fault matrix and puts its tables into docs/FAULTS.md.
set -euo pipefail
cd "$(dirname "$0")/.."
program=${1:-build}/fault_matrix_test
page=docs/FAULTS.md
output=$(mktemp)
next=$(mktemp)
trap 'rm -f "$output" "$next"' EXIT

"$program" > "$output" || { tail -40 "$output"; exit 1; }
result=$(tail -1 "$output")

# Replaces what stands between the page's markers by the same part of the output.
awk -v output="$output" -v result="$result" '
  function copy(marker,   line, inside) {
    while ((getline line < output) > 0) {
      if (line == marker) { inside = 1; continue }
      if (line == "<!-- end -->") { if (inside) break; else continue }
      if (inside) print line
    }
    close(output)
  }
  /^<!-- (claim|config) -->$/ { print; copy($0); skipping = 1; next }
  /^<!-- result -->$/ { print; print "`fault_matrix_test`: " result "."; skipping = 1; next }
  /^<!-- end -->$/ { skipping = 0 }
  !skipping { print }' "$page" > "$next"
cp "$next" "$page"
echo "$result"
