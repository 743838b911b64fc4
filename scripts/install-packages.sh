#!/usr/bin/env bash
# Installs the packages for the build and the tests on Debian 12. Does nothing if all are installed.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache clang-format clang-tidy
    libevent-dev libmsgpuck-dev libtomlplusplus-dev libtclap-dev liblog4cxx-dev libboost1.81-dev
    libgtest-dev libgmock-dev libbenchmark-dev libxxhash-dev nlohmann-json3-dev curl
)
if ! dpkg-query -W "${packages[@]}" >/dev/null 2>&1; then
    apt-get update -q
    apt-get install -y -q --no-install-recommends "${packages[@]}"
fi
