#!/usr/bin/env bash
# play.sh TRIAL FOLDER: plays a trial with the programs of the deploy file and
# ends all processes that it started. Writes FOLDER/record.txt. Exits with 1 if
# the rule was broken, 0 if it held, and 2 if the trial could not run.
set -um
cd "$(dirname "$0")/../.."
Trial=$1
Case=$2
commandOf() {
  sed -n "/^\[roles\.$1\]/,/^\$/s/^run = \"\(.*\)\"/\1/p" deploy/system.toml
}
Program=build-review-3/review-trial-3
read -ra Entry <<<"$(commandOf entry)"
read -ra Ledger <<<"$(commandOf ledger)"
if [ ! -x "$Program" ] || [ ! -x "${Entry[0]:-}" ]; then
  echo "the programs are not built: see deploy/system.toml, review/build-3.sh"
  exit 2
fi
Folder=$(mktemp -d)
timeout 115 "$Program" "$Trial" "$Folder" "$Case/record.txt" \
  "${Entry[@]}" -- "${Ledger[@]}" &
Job=$!
wait "$Job"
Result=$?
# The processes of the trial are in the process group of the job.
kill -KILL -- "-$Job" 2>/dev/null
rm -rf "$Folder"
[ "$Result" -le 2 ] || Result=2
exit "$Result"
