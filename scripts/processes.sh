# Sourced by the scripts that start processes on loopback. On exit, also after a failure, it
# stops every process that was started and removes the temporary directory.

# A random loopback address for each run lets several runs coexist.
ip=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1)).1
dir=$(mktemp -d)
pids=()

finish() {
	status=$?
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	if [ "$status" -ne 0 ]; then
		echo "failed; last lines of the logs:" >&2
		tail -n 5 "$dir"/*.log >&2 || true
	fi
	rm -rf "$dir"
	exit "$status"
}
trap finish EXIT
trap 'exit 130' INT TERM

# start NAME COMMAND... runs the command in the background with its output in NAME.log.
start() {
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids+=($!)
}

# await SECONDS COMMAND... waits until the command succeeds.
await() {
	local until=$((SECONDS + $1))
	shift
	while ! "$@" >/dev/null 2>&1; do
		[ "$SECONDS" -lt "$until" ] || { echo "timed out: $*" >&2; return 1; }
		sleep 0.1
	done
}

# get PORT PATH prints the HTTP response, headers and body.
get() { (exec 3<>"/dev/tcp/$ip/$1" && printf 'GET %s HTTP/1.0\r\n\r\n' "$2" >&3 && cat <&3); }

listens() { (exec 3<>"/dev/tcp/$ip/$1"); }

ready() { get "$1" /readyz | grep -q ' 200 '; }

# lists_entries PORT COUNT succeeds if the entry host lists at least COUNT entry addresses to callers.
lists_entries() { [ "$(get "$1" /v1/entries | grep -o '"address"' | wc -l)" -ge "$2" ]; }
