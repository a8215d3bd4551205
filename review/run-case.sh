#!/bin/sh
# run-case.sh FOLDER CLASS: plays the case CLASS and writes FOLDER/record.txt.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
review=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$review")
folder=$(cd "$1" && pwd)
if [ ! -f "$root/target/cedarrelay.jar" ] || [ ! -f "$review/out/Kit.class" ]; then
    echo "build first: the build of the deploy file, then review/build.sh" >&2
    exit 2
fi
temp=$(mktemp -d) || exit 2
end() {
    # The processes that the case started, should it have been killed itself.
    if [ -f "$temp/pids" ]; then
        while read -r pid; do
            kill -9 "$pid" 2> /dev/null
        done < "$temp/pids"
    fi
    rm -rf "$temp"
}
trap end EXIT
trap 'exit 2' INT TERM
timeout -k 5 110 java -Xmx512m -cp "$review/out" "$2" "$folder" "$root" "$temp"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
