#!/bin/sh
# Makes one of three servers dark while some requesters leave early.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
exec target/review-2/rig-2 -gateway target/dotterel-gateway -case late-bookings -record "$here/record.txt"
