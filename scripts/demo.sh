#!/bin/sh
# Runs guavayoke as separate processes on loopback addresses, submits real work
# with a kill of one entry host in its middle, prints answers and the burn
# report, and stops everything gracefully. Exits non-zero if anything was wrong.
set -eu
cd "$(dirname "$0")/.."
out=demo.out
rm -rf $out
mkdir $out
failed=0
stopped=0
finish() {
	[ $stopped = 1 ] || scripts/stop.sh $out || failed=1
	[ $failed = 0 ] || echo "demo: FAILED, logs are in $out" >&2
	exit $failed
}
trap finish EXIT
trap 'failed=1; exit 1' INT TERM

say() { printf '\n== %s\n' "$*"; }
g() {
	command=$1
	shift
	bin/guavayoke "$command" -settings $out/guavayoke.json "$@"
}
list() { # list FIRST LAST PREFIX: addresses separated by commas
	seq -f "127.0.0.1:${PORT_BASE:-17}$3%02g" -s , "$1" "$2"
}

say "start 4 daemons in 2 failure domains, 6 backend servers and a platform"
scripts/cluster.sh $out bin 4 2 6 8

say "a document from the edit to production"
i=0
until g propose -env trial -note demo examples/raumwerk.json; do
	i=$((i + 1))
	[ $i -lt 50 ] || { failed=1; exit 1; }
	sleep 0.1
done
digest=$(sha256sum examples/raumwerk.json | cut -d' ' -f1)
g review -env trial "$digest"
g accept -env trial "$digest"
g promote trial production
g status -env production -wait -timeout 11s
# Slots are used 3 s after the hosts have found each other.
sleep 4

say "a job read from examples/work.txt"
g submit -env production -team referral -service booking -run-ms 100 examples/work.txt || failed=1
lines=$(grep -c . examples/work.txt)
good=0
g submit -env production -team referral -service booking -output json examples/work.txt >$out/job.json || failed=1
while IFS= read -r line; do
	sum=$(printf %s "$line" | sha256sum | cut -d' ' -f1)
	grep -q "$sum" $out/job.json && good=$((good + 1))
done <examples/work.txt
echo "$good of $lines answers checked by content"
[ "$good" = "$lines" ] || failed=1

say "10 s of load; entry host 2 is killed after 3 s, entry host 3 stops gracefully after 5 s"
(
	sleep 3
	kill -KILL "$(cat $out/daemon2.pid)"
	sleep 2
	kill -TERM "$(cat $out/daemon3.pid)"
) &
bin/guavayoke-load run -workload Raumwerk -rate 120 -length 10s \
	-callers "$(list 1 4 1)" -operators "$(list 1 4 3)" -controls "127.0.0.1:${PORT_BASE:-17}901,127.0.0.1:${PORT_BASE:-17}902" || failed=1

say "status after the kill"
g status -env production || failed=1

say "burn report"
g report -env production -html $out/burn.html burn || failed=1

say "graceful stop"
stopped=1
scripts/stop.sh $out || failed=1
if grep -l ShutdownTimedOut $out/daemon*.log; then
	echo "demo: a graceful stop cut something off" >&2
	failed=1
fi
[ $failed = 1 ] || echo "demo: all answers were right"
