#!/usr/bin/env bash
# Bodies in chunks of one byte, beside usual clients.
folder="$(cd "$(dirname "$0")" && pwd)"
exec "$folder/../run-case-2.sh" "$folder" OneByteChunks
