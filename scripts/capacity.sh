#!/bin/sh
# Measures what daemons spend on control with the lists of the size to come:
# 9 daemons in 3 domains, 1500 backend servers in the list, no load.
# Usage: capacity.sh DIR
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
measure() {
	pid=$(cat "$dir/daemon5.pid")
	a=$(curl -s "http://127.0.0.1:${base}305/metrics")
	ca=$(curl -s "http://127.0.0.1:${base}000/v1/calls")
	ta=$(awk '{print $14+$15}' "/proc/$pid/stat")
	sleep 30
	b=$(curl -s "http://127.0.0.1:${base}305/metrics")
	cb=$(curl -s "http://127.0.0.1:${base}000/v1/calls")
	tb=$(awk '{print $14+$15}' "/proc/$pid/stat")
	echo "== $1: one daemon over 30 s"
	echo "CPU: $((tb - ta)) ticks of $((30 * $(getconf CLK_TCK)))"
	echo "resident: $(awk '/VmRSS/ {print $2, $3}' "/proc/$pid/status")"
	for m in SentBytes ReceivedBytes SentFrames; do
		va=$(printf %s "$a" | sed -n "s/.*\"Peer.$m\":{\"value\":\([0-9]*\)}.*/\1/p")
		vb=$(printf %s "$b" | sed -n "s/.*\"Peer.$m\":{\"value\":\([0-9]*\)}.*/\1/p")
		echo "$m a second: $(((vb - va) / 30))"
	done
	echo "platform calls of all daemons and stand-ins before: $ca"
	echo "platform calls of all daemons and stand-ins after:  $cb"
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
