#!/bin/sh
# Builds what the scripts in review/6 to 10 start beside the build of the deploy
# file: the project's stand-in of the platform's store and the stand-ins here.
set -eu
cd "$(dirname "$0")/.."
out=build-review-2
jobs=$(nproc 2>/dev/null || echo 2)
cmake -S . -B "$out/project" -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build "$out/project" -j"$jobs" --target shallotctl >/dev/null
cp "$out/project/shallotctl" "$out/shallotctl.new"
mv "$out/shallotctl.new" "$out/shallotctl"
${CC:-cc} -std=c11 -O2 -D_GNU_SOURCE -Wall -Wextra -Werror -o "$out/play" \
	review/stand_ins_2/*.c
