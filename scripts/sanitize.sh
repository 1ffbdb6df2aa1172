#!/usr/bin/env bash
# Usage: scripts/sanitize.sh address|thread [test program...]
# Builds the tests with a sanitizer in a folder of their own and runs them.  Exits 0 only if all pass
# and nothing is reported.
set -uo pipefail
cd "$(dirname "$0")/.."
kind=${1:?address or thread}; shift
folder=build-$kind
cmake -S . -B "$folder" -G Ninja -DHAWTHORNNOTCH_SANITIZE="$kind" >/dev/null || exit 1
targets=${*:-all}
# shellcheck disable=SC2086
cmake --build "$folder" --target $targets -- -j "${JOBS:-$(nproc)}" >"$folder.log" 2>&1 ||
  { grep error: "$folder.log" | head -20; exit 1; }
programs=${*:-$(cat "$folder/tests.txt")}
failed=0
for program in $programs; do
  # Reports that hold only libraries not built with the sanitizer are named in the file.
  TSAN_OPTIONS="suppressions=scripts/tsan_suppressions.txt exitcode=66" \
    "$folder/$program" >"$folder/$program.log" 2>&1
  code=$?
  echo "$program: $(grep -E '^[0-9]+ passed' "$folder/$program.log" || echo 'no count'), exit code $code"
  if [ $code -ne 0 ]; then
    failed=1
    grep -E "SUMMARY|FAILED|ERROR" "$folder/$program.log" | sort | uniq -c | head -10
  fi
done
exit $failed
