#!/usr/bin/env bash
# Runs a case of the second review: run-case-2.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. TROUBLE=0 leaves out the disruption.
folder="$1"
class="$2"
cd "$(dirname "$0")/.." || exit 2
if [ ! -f target/cedarrelay.jar ] || [ ! -f "target/review-2/$class.class" ]; then
    echo "build first: the command of the deploy file, then review/build-2.sh" >&2
    exit 2
fi
# The stand-ins' process ends the node that it started, also when it is ended itself.
timeout -k 5 115 java -Xmx512m -cp target/review-2 "$class" "$folder/record.txt"
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
