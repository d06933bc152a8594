#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review. Needs only the JDK.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
mkdir -p "$root/target/review"
javac -encoding UTF-8 -d "$root/target/review" "$root"/review/standins/*.java
