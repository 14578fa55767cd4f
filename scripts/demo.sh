#!/bin/sh
# Runs guavayoke as separate processes on loopback addresses, submits real work, kills
# one entry host during a load, prints the answers and the burn report, and stops
# everything gracefully. Exits with a non-zero status if any step failed or any answer
# was wrong.
set -eu
cd "$(dirname "$0")/.."
out=demo.out
rm -rf $out
mkdir $out
failed=0
stopped=0
finish() { # stops the cluster if that was not done yet, and reports the result
	[ $stopped = 1 ] || scripts/stop.sh $out || failed=1
	[ $failed = 0 ] || echo "demo: FAILED, logs are in $out" >&2
	exit $failed
}
trap finish EXIT
trap 'failed=1; exit 1' INT TERM

heading() { printf '\n== %s\n' "$*"; }
operator() { # operator COMMAND ARGUMENTS...: runs a command of the operators' client
	command=$1
	shift
	bin/guavayoke "$command" -settings $out/guavayoke.json "$@"
}
addresses() { # addresses FIRST LAST PREFIX: prints addresses separated by commas
	seq -f "127.0.0.1:${PORT_BASE:-17}$3%02g" -s , "$1" "$2"
}

heading "start 4 daemons in 2 failure domains, 6 backend servers and a platform"
scripts/cluster.sh $out bin 4 2 6 8

heading "propose and accept a document in trial, then promote it to production"
i=0
until operator propose -env trial -note demo examples/raumwerk.json; do
	i=$((i + 1))
	[ $i -lt 50 ] || { failed=1; exit 1; }
	sleep 0.1
done
digest=$(sha256sum examples/raumwerk.json | cut -d' ' -f1)
operator review -env trial "$digest"
operator accept -env trial "$digest"
operator promote trial production
operator status -env production -wait -timeout 11s
# Hosts use slots only 3 s after they have discovered each other.
sleep 4

heading "submit examples/work.txt as a job"
operator submit -env production -team referral -service booking -run-ms 100 examples/work.txt || failed=1
lines=$(grep -c . examples/work.txt)
correct=0
operator submit -env production -team referral -service booking -output json examples/work.txt >$out/job.json || failed=1
while IFS= read -r line; do
	sum=$(printf %s "$line" | sha256sum | cut -d' ' -f1)
	grep -q "$sum" $out/job.json && correct=$((correct + 1))
done <examples/work.txt
echo "$correct of $lines answers have the expected content"
[ "$correct" = "$lines" ] || failed=1

heading "10 s of load; entry host 2 is killed after 3 s, entry host 3 stops gracefully after 5 s"
(
	sleep 3
	kill -KILL "$(cat $out/daemon2.pid)"
	sleep 2
	kill -TERM "$(cat $out/daemon3.pid)"
) &
bin/guavayoke-load run -workload Raumwerk -rate 120 -length 10s \
	-callers "$(addresses 1 4 1)" -operators "$(addresses 1 4 3)" -controls "127.0.0.1:${PORT_BASE:-17}901,127.0.0.1:${PORT_BASE:-17}902" || failed=1

heading "status after the kill"
operator status -env production || failed=1

heading "burn report"
operator report -env production -html $out/burn.html burn || failed=1

heading "graceful stop"
stopped=1
scripts/stop.sh $out || failed=1
if grep -l ShutdownTimedOut $out/daemon*.log; then
	echo "demo: a daemon aborted work during its graceful stop" >&2
	failed=1
fi
[ $failed = 1 ] || echo "demo: all answers were correct"
