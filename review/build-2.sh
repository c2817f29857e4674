#!/bin/bash
# Builds the stand-ins and the cases 6 to 10 of the second review into target/review-2, with the JDK alone.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/stands-2/*.java review/6/*.java review/7/*.java review/8/*.java review/9/*.java review/10/*.java
