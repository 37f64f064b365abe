#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 does the same without the disruption.
Folder=$(cd "$(dirname "$0")" && pwd)
cd "$Folder/../.." || exit 2
case "${TROUBLE:-1}" in
0) Mode=calm ;;
1) Mode=trouble ;;
*)
  echo "TROUBLE is 0 or 1" >&2
  exit 2
  ;;
esac
Case=review/out/case-$(basename "$Folder")
[ -x "$Case" ] || exit 2
exec "$Case" "$Folder/record.txt" "$Mode"
