#!/bin/sh
# Gracefully stops a cluster that cluster.sh started: first the daemons, then the backend
# servers, then the platform. Usage: stop.sh DIR
set -eu
dir=$1
for kind in daemon backend platform; do
	for f in "$dir/$kind"*.pid; do
		[ -e "$f" ] || continue
		kill -TERM "$(cat "$f")" 2>/dev/null || true
	done
	for f in "$dir/$kind"*.pid; do
		[ -e "$f" ] || continue
		pid=$(cat "$f")
		i=0
		while kill -0 "$pid" 2>/dev/null && [ $i -lt 250 ]; do
			sleep 0.1
			i=$((i + 1))
		done
		if kill -0 "$pid" 2>/dev/null; then
			echo "stop.sh: $f is still running after 25 s" >&2
			exit 1
		fi
		rm -f "$f"
	done
done
