#!/bin/sh
# Builds the program that plays the scripts: the stand-ins of the store, the servers and the requesters are part of it.
set -eu
cd "$(dirname "$0")/rig"
go build -o ../../target/review/rig .
