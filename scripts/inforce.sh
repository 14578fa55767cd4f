#!/bin/sh
# Accepts configurations under load on 9 daemons in 3 failure domains while one
# domain is cut off from the platform, one host is paused and one is restarted.
# Prints how long each took to be in force on every host that can be reached
# (bound 11 s), and the platform calls. Usage: inforce.sh DIR
set -eu
cd "$(dirname "$0")/.."
dir=${1:-inforce.out}
base=${PORT_BASE:-17}
rm -rf "$dir"
RELAY=1 scripts/cluster.sh "$dir" bin 9 3 12 8
trap 'scripts/stop.sh "$dir"' EXIT
g() {
	command=$1
	shift
	bin/guavayoke "$command" -settings "$dir/guavayoke.json" -env production "$@"
}
change() { # change N: a document that differs from the others
	sed "s/\"WastedMessageMs\": 5/\"WastedMessageMs\": $1/" examples/raumwerk.json >"$dir/doc$1.json"
	g propose "$dir/doc$1.json" >/dev/null
	g accept "$(sha256sum "$dir/doc$1.json" | cut -d' ' -f1)"
	g status -wait -timeout 11s || failed=1
}
failed=0
sleep 3
echo "== first configuration"
change 1
sleep 4
list() { seq -f "127.0.0.1:${base}$1%02g" -s , 1 9; }
bin/guavayoke-load run -rate 150 -length 45s -callers "$(list 1)" -operators "$(list 3)" \
	-controls "127.0.0.1:${base}901,127.0.0.1:${base}902,127.0.0.1:${base}903" >"$dir/load.txt" &
load=$!
echo "== all well"
change 2
curl -sf -X PUT -d '{"Cut": true}' "http://127.0.0.1:${base}951/v1/faults"
echo "== domain 3 is cut off from the platform"
change 3
echo "== and host 4 is paused, host 5 restarts"
kill -STOP "$(cat "$dir/daemon4.pid")"
old=$(cat "$dir/daemon5.pid")
kill -TERM "$old"
while kill -0 "$old" 2>/dev/null; do sleep 0.1; done
bin/guavayoked -settings "$dir/daemon5.json" >>"$dir/daemon5.log" 2>&1 &
echo $! >"$dir/daemon5.pid"
sleep 1
change 4
echo "== host 4 goes on"
kill -CONT "$(cat "$dir/daemon4.pid")"
g status -wait -timeout 11s || failed=1
curl -sf -X PUT -d '{"Cut": false}' "http://127.0.0.1:${base}951/v1/faults"
sleep 8
echo "== platform calls in 20 s without a change"
a=$(curl -s "http://127.0.0.1:${base}000/v1/calls")
sleep 20
b=$(curl -s "http://127.0.0.1:${base}000/v1/calls")
echo "$a"
echo "$b"
wait $load || failed=1
cat "$dir/load.txt"
grep -h 'ConfigurationApplied' "$dir"/daemon*.log | sed 's/.*Version=\([0-9]*\).*/\1/' | sort -n | uniq -c
exit $failed
