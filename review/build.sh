#!/usr/bin/env bash
# Builds the stand-ins and cases of the review; to be run after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -Xlint:all -d target standins/*.java
cp -r standins/wire target/
