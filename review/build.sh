#!/usr/bin/env bash
# Builds the stand-ins of the cases under target/review. Run it after the build of deploy/system.toml,
# whose packages are enough.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
common="review/standins/http.cc review/standins/store.cc review/standins/trial.cc"
for trial in surplus_answer relay_freeze deadly_part; do
  # shellcheck disable=SC2086
  g++ -std=c++17 -O1 -Wall -Wextra -o "target/review/$trial" $common "review/standins/$trial.cc" \
    -pthread
done
