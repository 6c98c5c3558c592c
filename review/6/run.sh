#!/bin/sh
# Cuts one of two machines off from all servers for two seconds while streams that may be resumed are under way.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -x target/review-2/rig-2 ] || {
	echo "review/build-2.sh has not been run" >&2
	exit 2
}
exec target/review-2/rig-2 -gateway target/dotterel-gateway -case hung-streams -record "$here/record.txt"
