#!/usr/bin/env bash
# Answers of plan servers with a length that is too short.
folder="$(cd "$(dirname "$0")" && pwd)"
exec "$folder/../run-case-2.sh" "$folder" ShortLength
