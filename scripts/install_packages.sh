#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need; does nothing where all are there.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy jq curl
  libboost1.81-dev libboost-log1.81-dev libboost-json1.81-dev libboost-thread1.81-dev
  libboost-filesystem1.81-dev libdocopt-dev libcppunit-dev libxxhash-dev
  libjsonrpccpp-dev libjsoncpp-dev libssl-dev libbenchmark-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
