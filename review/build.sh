#!/bin/sh
# Builds the stand-ins of the review's cases into review/out. Needs the JDK alone.
set -eu
cd "$(dirname "$0")"
rm -rf out
mkdir out
javac -Xlint:all -Werror -d out src/*.java
