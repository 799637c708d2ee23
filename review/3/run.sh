#!/bin/sh
# Runs the case from the root of the repository, after the build of the deploy file and review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/fleet/lugwharf ] && [ -x target/review/standin ] || { echo "not built" >&2; exit 2; }
exec target/review/standin limits-on-kept-connections "$folder"
