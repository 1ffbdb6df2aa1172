#!/usr/bin/env bash
# Usage: scripts/run_tests.sh [build folder].  Runs every test program; prints 'N passed, N failed'.
# Tests listed in KNOWN-RED.txt run too: what they do is printed, and does not count.
set -uo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
# The slowest program takes some minutes, most of which it waits.  One that takes this long hangs: it
# is ended and counts as failed, and the last test it named is the one that hung.
longest_program_seconds=600
# Programs run side by side, as several of them mostly wait for the clock.
programs_at_once=4
outputs=$(mktemp -d)
trap 'rm -rf "$outputs"' EXIT
export folder outputs longest_program_seconds
run_program() {
  timeout --kill-after=10 "$longest_program_seconds" "$folder/$1" --known-red KNOWN-RED.txt \
    >"$outputs/$1.out" 2>&1
  echo $? >"$outputs/$1.code"
}
export -f run_program
grep -v '^$' "$folder/tests.txt" |
  xargs -P "$programs_at_once" -I {} bash -c 'run_program {}'
passed=0; failed=0
while read -r program; do
  [ -z "$program" ] && continue
  output=$(cat "$outputs/$program.out"); code=$(cat "$outputs/$program.code")
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
