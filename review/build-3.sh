#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -d target/review-3 review/standin-3/*.java
