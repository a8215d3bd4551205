#!/usr/bin/env bash
# Clients that stop in the middle of a request, beside usual clients.
folder="$(cd "$(dirname "$0")" && pwd)"
exec "$folder/../run-case-2.sh" "$folder" HalfRequests
