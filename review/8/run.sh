#!/bin/sh
# One of eight upstreams fails half of the requests that it has run, with a 503 of its own.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
for built in review/standin-2/target/classes/OwnFailureCase.class target/yuccaflow-platform/yuccaflow-platform-0.1.0.jar; do
    [ -f "$built" ] || { echo "$built is missing: build the deploy file and run review/build-2.sh" >&2; exit 2; }
done
exec java -Xmx256m -cp review/standin-2/target/classes OwnFailureCase review/8
