#!/usr/bin/env bash
# See claim.txt. Writes record.txt; 1: the rule was broken, 0: it held, 2: the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/services/cicada-entry ] || exit 2
[ -x target/review-3/worker ] && [ -x target/review-3/rolled_hosts ] || exit 2
# What the driver starts ends with it.
timeout -k 2 115 target/review-3/rolled_hosts review/15/record.txt &
driver=$!
trap 'kill "$driver"; exit 2' TERM INT
wait "$driver"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
