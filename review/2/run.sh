#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the
# disruption out.
set -u
record="$(cd "$(dirname "$0")" && pwd)/record.txt"
cd "$(dirname "$0")/../.."
if [ ! -x target/junctionraild ] || [ ! -x target/review/deadly_part ]; then
  echo "not built: run the build of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
REVIEW_DIRECTORY="$(mktemp -d)"
export REVIEW_DIRECTORY
timeout --signal=KILL 115 target/review/deadly_part "$record"
code=$?
rm -rf "$REVIEW_DIRECTORY"
[ "$code" -le 1 ] || code=2
exit "$code"
