#!/bin/sh
# Runs a workload against daemons while faults come, and checks the invariants
# against the servers' records. Usage: recovery.sh DIR WORKLOAD FAULT [DAEMONS]
# FAULT: none, kill (one daemon killed, started again 5 s later), restart (one
# stopped gracefully, started again), both (kill, then restart of another),
# pause (SIGSTOP for 5 s), outage (the platform answers nothing for 10 s), lose
# (a third of the platform's writes lose their answers), failfast (one server of
# 50 fails every task), hang (one never answers), slow (one takes five times as
# long), leave (one says that it leaves).
set -eu
cd "$(dirname "$0")/.."
dir=$1 workload=$2 fault=$3 daemons=${4:-3}
base=${PORT_BASE:-17}
rm -rf "$dir"
scripts/cluster.sh "$dir" bin "$daemons" 3 50 8
trap 'scripts/stop.sh "$dir"' EXIT
sleep 2
digest=$(sha256sum examples/raumwerk.json | cut -d' ' -f1)
bin/guavayoke propose -settings "$dir/guavayoke.json" -env production examples/raumwerk.json >/dev/null
bin/guavayoke accept -settings "$dir/guavayoke.json" -env production "$digest" >/dev/null
bin/guavayoke status -settings "$dir/guavayoke.json" -env production -wait -timeout 11s >/dev/null
sleep 4

again() { # again N: starts daemon N
	bin/guavayoked -settings "$dir/daemon$1.json" >>"$dir/daemon$1.log" 2>&1 &
	echo $! >"$dir/daemon$1.pid"
}
stop_and_again() {
	old=$(pid "$1")
	kill -TERM "$old"
	while kill -0 "$old" 2>/dev/null; do sleep 0.1; done
	again "$1"
}
pid() { cat "$dir/daemon$1.pid"; }
faults() { # faults PATH-AND-QUERY BODY
	curl -sf -X PUT -d "$2" "http://127.0.0.1:${base}$1" >/dev/null
}
cause() {
	sleep 6
	case $fault in
	kill) kill -KILL "$(pid 2)"; sleep 5; again 2 ;;
	restart) stop_and_again 3 ;;
	both) kill -KILL "$(pid 2)"; sleep 5; again 2; sleep 5; stop_and_again 3 ;;
	pause) kill -STOP "$(pid 2)"; sleep 5; kill -CONT "$(pid 2)" ;;
	outage) faults 000/v1/faults '{"Outage": true}'; sleep 10; faults 000/v1/faults '{}' ;;
	lose) faults 000/v1/faults '{"LoseAnswers": 0.33, "LandLateMs": 300}' ;;
	hang) faults '901/v1/faults?Server=server1' '{"Hang": true}' ;;
	slow) faults '901/v1/faults?Server=server1' '{"SlowFactor": 5}' ;;
	leave) faults '901/v1/leave?Server=server1' '{}' ;;
	failfast) faults '901/v1/faults?Server=server1' '{"FailAll": true}' ;;
	esac
}
list() { seq -f "127.0.0.1:${base}$1%02g" -s , 1 "$daemons"; }
cause &
causer=$!
code=0
bin/guavayoke-load run -workload "$workload" -rate "${RATE:-900}" -length "${LENGTH:-26s}" -fault-at 6s \
	-callers "$(list 1)" -operators "$(list 3)" \
	-controls "127.0.0.1:${base}901,127.0.0.1:${base}902,127.0.0.1:${base}903" ${EXTRA:-} || code=$?
wait $causer
bin/guavayoke status -settings "$dir/guavayoke.json" -env production
exit $code
