#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/jdk.sh
rm -rf target/review
mkdir -p target/review
javac -d target/review review/standin/*.java
