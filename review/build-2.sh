#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2; needs a JDK and nothing else. Run it after
# bin/deploy-build.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/standins-2/*.java
