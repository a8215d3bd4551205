#!/usr/bin/env bash
# A planned restart while plan servers hang and clients write slowly.
folder="$(cd "$(dirname "$0")" && pwd)"
exec "$folder/../run-case-2.sh" "$folder" SlowClientAtRestart
