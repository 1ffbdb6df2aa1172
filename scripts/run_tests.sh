#!/usr/bin/env bash
# Usage: scripts/run_tests.sh [build folder].  Runs every test program; prints 'N passed, N failed'.
# Tests listed in KNOWN-RED.txt run too: what they do is printed, and does not count.
set -uo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
# The slowest program takes a minute.  One that takes this long hangs: it is ended and counts as
# failed, and the last test it named is the one that hung.
longest_program_seconds=600
passed=0; failed=0
while read -r program; do
  [ -z "$program" ] && continue
  output=$(timeout --kill-after=10 "$longest_program_seconds" "$folder/$program" --known-red KNOWN-RED.txt 2>&1); code=$?
  line=$(echo "$output" | grep -E '^[0-9]+ passed, [0-9]+ failed' | tail -1)
  if [ -z "$line" ]; then
    echo "$output" | tail -40; echo "$program ended with code $code and no count"
    failed=$((failed + 1)); continue
  fi
  p=${line%% passed*}; f=${line#*, }; f=${f%% failed*}
  passed=$((passed + p)); failed=$((failed + f))
  echo "$output" | grep '^known red' || true
  if [ "$code" -ne 0 ]; then
    [ "$f" -eq 0 ] && failed=$((failed + 1))
    echo "$output" | tail -60
  fi
  echo "$program: $line"
done < "$folder/tests.txt"
[ -f KNOWN-RED.txt ] && { echo "listed in KNOWN-RED.txt:"; grep -v '^#' KNOWN-RED.txt; }
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
