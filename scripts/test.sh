#!/usr/bin/env bash
# Installs what is missing, builds, checks format and lint, runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
scripts/build.sh build
scripts/lint.sh build || { echo "format or lint is not clean"; exit 1; }
scripts/run_tests.sh build
