#!/usr/bin/env bash
# Runs the case on loopback addresses. It needs the build of the deploy file and that of
# the stand-ins. Exit code: 0 if the rule held, 1 if it was broken, 2 if it could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-trial ] || bash review/build-3.sh || exit 2
TRIAL_CASE=late-503 TRIAL_DAEMON=target/currantwick TRIAL_RECORD="$here/record.txt" exec target/review-trial
