#!/usr/bin/env bash
# play-2.sh SCRIPT FOLDER: plays a script of the second review; its record goes to FOLDER. Whatever happens to the stand-ins,
# the nodes that they have started end with this script. Exits with 2 if the script could not run.
set -u
cd "$(dirname "$0")/.." || exit 2
program=target/review-2/release/review-2
if [ ! -x target/release/kumquatquayd ] || [ ! -x "$program" ]; then
  echo "build the deploy file and run review/build-2.sh first" >&2
  exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
export REVIEW_PROCESSES=$TMPDIR/processes
: > "$REVIEW_PROCESSES"

end_all() {
  while read -r process; do
    if grep -qs kumquatquayd "/proc/$process/cmdline"; then
      kill -KILL "$process" 2> /dev/null
    fi
  done < "$REVIEW_PROCESSES"
  rm -rf "$TMPDIR"
}

"$program" "$1" "$2/record.txt" &
standins=$!
trap 'kill -KILL "$standins" 2> /dev/null; end_all; exit 2' HUP INT TERM
wait "$standins"
code=$?
end_all
exit "$code"
