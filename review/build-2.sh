#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/jdk.sh
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/standin-2/*.java
