#!/usr/bin/env bash
# Installs the compiler, the tools and every library of the project from Debian's packages.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache clang-format clang-tidy git curl
    libboost1.81-dev libboost-test1.81-dev
    libcapnp-dev capnproto
    prometheus-cpp-dev libyaml-cpp-dev libcxxopts-dev liblog4cxx-dev
    librapidcheck-dev nlohmann-json3-dev libssl-dev
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query --show --showformat='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
    exit 0
fi
echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
