#!/usr/bin/env bash
cd "$(dirname "$0")/../.."
exec java -Xmx512m -cp target/review HangupAtStart review/4/record.txt
