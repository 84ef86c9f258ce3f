#!/bin/sh
# Runs a case five times, and once without its trouble; prints each result and how often it failed.
# usage: review/run5-2.sh N
cd "$(dirname "$0")" || exit 2
failed=0
for i in 1 2 3 4 5; do
    ./"$1"/run.sh; code=$?
    echo "case $1, run $i: $code"
    [ "$code" = 1 ] && failed=$((failed + 1))
done
TROUBLE=0 ./"$1"/run.sh; code=$?
echo "case $1 without its trouble: $code"
echo "case $1: failed $failed of 5"
