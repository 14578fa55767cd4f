#!/bin/sh
# Measures the overhead of one daemon: the latency that it adds to a 100 ms task at
# 80 % of the capacity of 50 servers with 8 slots each, compared with sending to the
# servers directly, and its throughput at 5000 task starts per second and above.
# Usage: bench.sh [DIR]
set -eu
cd "$(dirname "$0")/.."
dir=${1:-bench.out}
base=${PORT_BASE:-17}
rm -rf "$dir"
scripts/cluster.sh "$dir" bin 1 1 50 8
trap 'scripts/stop.sh "$dir"' EXIT
sleep 2
digest=$(sha256sum examples/raumwerk.json | cut -d' ' -f1)
bin/guavayoke propose -settings "$dir/guavayoke.json" -env production examples/raumwerk.json
bin/guavayoke accept -settings "$dir/guavayoke.json" -env production "$digest"
sleep 6
servers=$(seq -f "127.0.0.1:$((base + 1))%03g" -s , 1 50)
run() {
	bin/guavayoke-load run -callers "127.0.0.1:${base}101" -operators "127.0.0.1:${base}301" \
		-controls "127.0.0.1:${base}901" -job-share 0 -clients 4 "$@" | sed -n '1,4p;6,20p'
}
for i in 1 2 3; do
	echo "-- direct, 500/s"
	run -fixed-run 100ms -rate 500 -length 8s -direct "$servers"
	echo "-- through the daemon, 500/s"
	run -fixed-run 100ms -rate 500 -length 8s
	echo "-- through the daemon, 3200/s (80 %)"
	run -fixed-run 100ms -rate 3200 -length 8s
done
echo "-- 5000 starts/s"
run -fixed-run 50ms -rate 5000 -length 10s
echo "-- 8000 starts/s offered, in jobs"
run -fixed-run 50ms -rate 6500 -length 8s -job-share 0.9 -job-most 180
ps -o rss,cputimes,comm -p "$(cat "$dir/daemon1.pid")"
