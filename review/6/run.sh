#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/release/silent ] && [ -x target/release/sardinepaddled ] || exit 2
exec target/review/release/silent review/6
