#!/bin/sh
# A trial of an entry, not a case. Exit codes as for the cases. TROUBLE=0 leaves the cut out, REDEFINE=0 the shorter lease.
cd "$(dirname "$0")" || exit 2
PROJECT_ROOT=$(cd ../../.. && pwd)
RUN_COMMAND=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$PROJECT_ROOT/deploy/balancer.toml")
export PROJECT_ROOT RUN_COMMAND
[ -n "$RUN_COMMAND" ] && [ -x "$PROJECT_ROOT/target/release/beamgap" ] && [ -x ../../bin/two_holders ] || exit 2
../../bin/two_holders record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
