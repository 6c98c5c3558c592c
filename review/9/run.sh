#!/bin/sh
# Makes one of three servers dark while some requesters leave early.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -x target/review-2/rig-2 ] || {
	echo "review/build-2.sh has not been run" >&2
	exit 2
}
exec target/review-2/rig-2 -gateway target/dotterel-gateway -case late-bookings -record "$here/record.txt"
