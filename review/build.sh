#!/usr/bin/env bash
# Builds the stand-ins and the scripted cases of the review. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/standin/*.java
