#!/bin/sh
# Accepts configurations under load on 9 daemons in 3 failure domains while one
# domain is cut off from the platform, one host is paused and one is restarted.
# Prints how long it took until each configuration was in force on every reachable
# host (the limit is 11 s), and the calls to the platform. Usage: inforce.sh [DIR]
set -eu
cd "$(dirname "$0")/.."
dir=${1:-inforce.out}
base=${PORT_BASE:-17}
rm -rf "$dir"
RELAY=1 scripts/cluster.sh "$dir" bin 9 3 12 8
trap 'scripts/stop.sh "$dir"' EXIT
operator() { # operator COMMAND ARGUMENTS...: runs a command of the operators' client
	command=$1
	shift
	bin/guavayoke "$command" -settings "$dir/guavayoke.json" -env production "$@"
}
change() { # change N: proposes and accepts a document that differs from the others in N
	sed "s/\"WastedMessageMs\": 5/\"WastedMessageMs\": $1/" examples/raumwerk.json >"$dir/doc$1.json"
	operator propose "$dir/doc$1.json" >/dev/null
	operator accept "$(sha256sum "$dir/doc$1.json" | cut -d' ' -f1)"
	operator status -wait -timeout 11s || failed=1
}
failed=0
sleep 3
echo "== first configuration"
change 1
sleep 4
addresses() { # addresses PREFIX: prints the addresses of all daemons, separated by commas
	seq -f "127.0.0.1:${base}$1%02g" -s , 1 9
}
bin/guavayoke-load run -rate 150 -length 45s -callers "$(addresses 1)" -operators "$(addresses 3)" \
	-controls "127.0.0.1:${base}901,127.0.0.1:${base}902,127.0.0.1:${base}903" >"$dir/load.txt" &
load_pid=$!
echo "== no fault"
change 2
curl -sf -X PUT -d '{"Cut": true}' "http://127.0.0.1:${base}951/v1/faults"
echo "== domain 3 is cut off from the platform"
change 3
echo "== in addition, host 4 is paused and host 5 restarts"
kill -STOP "$(cat "$dir/daemon4.pid")"
old_pid=$(cat "$dir/daemon5.pid")
kill -TERM "$old_pid"
while kill -0 "$old_pid" 2>/dev/null; do sleep 0.1; done
bin/guavayoked -settings "$dir/daemon5.json" >>"$dir/daemon5.log" 2>&1 &
echo $! >"$dir/daemon5.pid"
sleep 1
change 4
echo "== host 4 is resumed"
kill -CONT "$(cat "$dir/daemon4.pid")"
operator status -wait -timeout 11s || failed=1
curl -sf -X PUT -d '{"Cut": false}' "http://127.0.0.1:${base}951/v1/faults"
sleep 8
echo "== platform calls in 20 s without a change"
calls_before=$(curl -s "http://127.0.0.1:${base}000/v1/calls")
sleep 20
calls_after=$(curl -s "http://127.0.0.1:${base}000/v1/calls")
echo "$calls_before"
echo "$calls_after"
wait $load_pid || failed=1
cat "$dir/load.txt"
grep -h 'ConfigurationApplied' "$dir"/daemon*.log | sed 's/.*Version=\([0-9]*\).*/\1/' | sort -n | uniq -c
exit $failed
