#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases, into build/.
set -eu
cd "$(dirname "$0")/.."
make -s -j4 build/machines
mkdir -p build/review
for source in review/[1-5]/case.c; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  gcc -std=gnu11 -O2 -Wall -Wextra -Wno-unused-function \
    -Wno-unused-parameter -pthread -o "build/review/case-$number" "$source"
done
