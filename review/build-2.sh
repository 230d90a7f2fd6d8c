#!/bin/sh
# Builds the stand-ins of the scripts in review/6 and later. Needs the JDK only.
cd "$(dirname "$0")/.." || exit 2
rm -rf review/standin-2/target
mkdir -p review/standin-2/target/classes || exit 2
javac -encoding UTF-8 --release 17 -d review/standin-2/target/classes review/standin-2/*.java
