#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start: the project's stand-in
# for the store, and the program of each case, into build/.
set -eu
cd "$(dirname "$0")/.."
make build/machines
mkdir -p build/review-2
for source in review/{6,7,8,9,10}/case.c; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  ${CC:-cc} -std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-parameter \
    -Wno-unused-function "$source" -lpthread -o "build/review-2/case-$number"
done
