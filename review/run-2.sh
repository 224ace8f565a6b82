#!/usr/bin/env bash
# Runs one case: run-2.sh FOLDER. The record goes to that folder. The processes
# of a case end with its program, also when this script is stopped.
set -uo pipefail
cd "$(dirname "$0")/.."
name=$1
if [ ! -x target/burdockhatchd ] || [ ! -x "target/review-2/case-$name" ]; then
  echo "build first: the deploy file's build, then review/build-2.sh" >&2
  exit 2
fi
folder=$(mktemp -d)
program=
stop() {
  [ -n "$program" ] && kill "$program" 2>/dev/null && wait "$program" 2>/dev/null
  rm -rf "$folder"
}
trap 'stop; exit 2' INT TERM HUP
timeout -k 5 110 "target/review-2/case-$name" "review/$name/record.txt" "$folder" &
program=$!
wait "$program"
status=$?
program=
stop
case $status in
  0|1) exit "$status" ;;
  *) exit 2 ;;
esac
