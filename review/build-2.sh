#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. Needs a JDK 17, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -Xlint:all -Werror -d target/review-2 review/standins-2/*.java
