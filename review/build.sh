#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases.
set -eu
cd "$(dirname "$0")/.."
make -s -j4 build/machines
mkdir -p review/build
for source in review/[1-5]/case.c; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  gcc -std=gnu11 -O2 -Wall -Wextra -Wno-unused-function \
    -Wno-unused-parameter -pthread -o "review/build/case-$number" "$source"
done
