#!/bin/sh
# Builds the scripts of cases 6 to 10, with their stand-ins, into target/review-2. The programs themselves are built
# by the build of the deploy file. Needs rustc alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 6/lost_leader 7/forgotten_origins 8/never_held 9/forgotten_quarantine 10/harmful_part; do
    rustc --edition 2021 -O -o "target/review-2/${case#*/}" "review/$case.rs"
done
