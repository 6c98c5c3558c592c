#!/bin/sh
# Builds the stand-ins of the second review's scripts.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
cd "$root/review/rig-2"
go build -o "$root/target/review-2/" .
