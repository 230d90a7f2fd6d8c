#!/usr/bin/env bash
cd "$(dirname "$0")/../.."
[ -d target/review ] || { echo "run review/build.sh first"; exit 2; }
exec java -Xmx512m -cp target/review LatePipelined review/4/record.txt
