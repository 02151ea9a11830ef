#!/usr/bin/env bash
# Plays the case of claim.txt. TROUBLE=0 leaves the limit as it is.
cd "$(dirname "$0")/../.."
. bin/jdk.sh || exit 2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
timeout 110 java -cp target/review-2 LimitCase review/10 "$work"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
