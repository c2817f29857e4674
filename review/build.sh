#!/bin/bash
# Compiles the stand-ins and the cases to review/build. Needs only the JDK.
set -e
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -Xlint:-options -d build src/*.java
