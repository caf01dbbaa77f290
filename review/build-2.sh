#!/usr/bin/env bash
# Builds the stand-ins of the cases from 4 on, with what they take of the project's own, under
# target/review-2. Needs the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
sources=(test/support/platform_standin.cc test/support/loopback.cc review/standins-2/process.cc)
g++ -std=c++17 -O1 -Wall -Wextra -Wno-psabi -D_WEBSOCKETPP_CPP11_STL_ \
  -Iinclude -Itest/support -Ireview/standins-2 \
  review/standins-2/ended_streams.cc "${sources[@]}" -o "$out/ended_streams" \
  -Ltarget -ljunctionrail_net -ljunctionrail_base \
  $(pkg-config --libs absl_strings spdlog openssl) -pthread
