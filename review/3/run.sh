#!/usr/bin/env bash
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
build/review/split_takeup review/3 "$folder"
status=$?
rm -rf "$folder"
exit "$status"
