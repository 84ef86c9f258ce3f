#!/bin/sh
# usage: run5.sh N — runs a case five times and once without its disruption, and prints each exit status.
cd "$(dirname "$0")/$1" || exit 2
TROUBLE=0 ./run.sh >/dev/null 2>&1; echo "case $1 TROUBLE=0: exit $?"
for i in 1 2 3 4 5; do ./run.sh >/dev/null 2>&1; echo "case $1 run $i: exit $?"; done
