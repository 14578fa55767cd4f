#!/bin/sh
# Measures the CPU time, memory, peer traffic and platform calls of idle daemons with a
# host list as large as is expected in production: 9 daemons in 3 failure domains,
# 1500 backend servers in the list, no load. Usage: capacity.sh [DIR]
set -eu
cd "$(dirname "$0")/.."
dir=${1:-capacity.out}
base=${PORT_BASE:-17}
rm -rf "$dir"
scripts/cluster.sh "$dir" bin 9 3 3 8
trap 'scripts/stop.sh "$dir"' EXIT
sleep 2
bin/guavayoke propose -settings "$dir/guavayoke.json" -env production examples/raumwerk.json >/dev/null
bin/guavayoke accept -settings "$dir/guavayoke.json" -env production "$(sha256sum examples/raumwerk.json | cut -d' ' -f1)" >/dev/null
measure() { # measure TITLE: prints the resources that daemon 5 used in 30 s
	pid=$(cat "$dir/daemon5.pid")
	metrics_before=$(curl -s "http://127.0.0.1:${base}305/metrics")
	calls_before=$(curl -s "http://127.0.0.1:${base}000/v1/calls")
	ticks_before=$(awk '{print $14+$15}' "/proc/$pid/stat")
	sleep 30
	metrics_after=$(curl -s "http://127.0.0.1:${base}305/metrics")
	calls_after=$(curl -s "http://127.0.0.1:${base}000/v1/calls")
	ticks_after=$(awk '{print $14+$15}' "/proc/$pid/stat")
	echo "== $1: one daemon over 30 s"
	echo "CPU: $((ticks_after - ticks_before)) ticks of $((30 * $(getconf CLK_TCK)))"
	echo "resident: $(awk '/VmRSS/ {print $2, $3}' "/proc/$pid/status")"
	for metric in SentBytes ReceivedBytes SentFrames; do
		before=$(printf %s "$metrics_before" | sed -n "s/.*\"Peer.$metric\":{\"value\":\([0-9]*\)}.*/\1/p")
		after=$(printf %s "$metrics_after" | sed -n "s/.*\"Peer.$metric\":{\"value\":\([0-9]*\)}.*/\1/p")
		echo "$metric per second: $(((after - before) / 30))"
	done
	echo "platform calls of all daemons and stand-ins before: $calls_before"
	echo "platform calls of all daemons and stand-ins after:  $calls_after"
}
sleep 15
measure "3 servers in the list"
i=0
while [ $i -lt 1500 ]; do
	name=$(printf 'far%04d' $i)
	[ $i -eq 0 ] || echo next
	printf 'url = "http://127.0.0.1:%s000/v1/hosts/%s?TTLMs=600000"\nrequest = PUT\ndata = "{\\"Name\\":\\"%s\\",\\"Kind\\":\\"Backend\\",\\"Address\\":\\"127.1.%d.%d:9\\",\\"Service\\":\\"booking\\",\\"FailureDomain\\":\\"domain%d\\"}"\n' \
		"$base" "$name" "$name" $((i / 250)) $((i % 250)) $((i % 3 + 1))
	i=$((i + 1))
done >"$dir/curl.txt"
curl -s -K "$dir/curl.txt" >/dev/null
sleep 10
measure "1503 servers in the list"
bin/guavayoke status -settings "$dir/guavayoke.json" -env production
