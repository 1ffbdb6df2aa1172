#!/usr/bin/env bash
# Usage: scripts/lint.sh [--changed] [build folder]
# clang-format and clang-tidy over every source, or over those that differ from main.
set -uo pipefail
cd "$(dirname "$0")/.."
changed=no
[ "${1:-}" = --changed ] && { changed=yes; shift; }
folder=${1:-build}
if [ "$changed" = yes ]; then
  files=$( (git diff --name-only --diff-filter=d "$(git merge-base HEAD main)"; git ls-files -o --exclude-standard) | sort -u)
else
  files=$(git ls-files -co --exclude-standard)
fi
sources=$(echo "$files" | grep -E '\.(cpp|h)$' || true)
units=$(echo "$files" | grep -E '\.cpp$' || true)
[ -z "$sources" ] && exit 0
echo "$sources" | xargs clang-format --dry-run --Werror || exit 1
scripts/check_awaits.sh || exit 1
scripts/check_wire_names.sh || exit 1
[ -z "$units" ] && exit 0
echo "$units" | xargs -P "${JOBS:-$(nproc)}" -n 1 clang-tidy --quiet -p "$folder" \
  --extra-arg=-Wno-unknown-warning-option 2>/dev/null
