#!/bin/sh
# play.sh CASE FOLDER: plays a case; its record goes to FOLDER. Whatever happens to the stand-ins, the
# processes that they have started end with this script.
case=$1
folder=$2
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
cd "$root" || exit 2
program=target/review/release/review-standins
[ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
REVIEW_PROCESSES=$TMPDIR/processes
export REVIEW_PROCESSES
: > "$REVIEW_PROCESSES"

end_all() {
  while read -r process; do
    if grep -qs kumquatquayd "/proc/$process/cmdline"; then
      kill -KILL "$process" 2>/dev/null
    fi
  done < "$REVIEW_PROCESSES"
  rm -rf "$TMPDIR"
}

"$program" "$case" "$root" "$folder" &
standins=$!
trap 'kill -KILL "$standins" 2>/dev/null; end_all; exit 2' HUP INT TERM
wait "$standins"
code=$?
end_all
exit "$code"
