#!/bin/sh
# Runs a workload against daemons, injects a fault, and checks the invariants against
# the records of the backend servers.
# Usage: recovery.sh DIR WORKLOAD FAULT [DAEMONS]
# FAULT is one of:
#   none
#   kill      a daemon is killed and started again 5 s later
#   restart   a daemon is stopped gracefully and started again
#   both      kill, then restart of another daemon
#   pause     a daemon is suspended (SIGSTOP) for 5 s
#   outage    the platform does not answer for 10 s
#   lose      a third of the writes to the platform's store take effect late and get no answer
#   failfast  one server of 50 fails every task
#   hang      one server of 50 never answers
#   slow      one server of 50 takes five times as long
#   leave     one server of 50 announces that it leaves
# RATE, LENGTH and EXTRA set the rate, the duration and further flags of the load.
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

start_daemon() { # start_daemon N
	bin/guavayoked -settings "$dir/daemon$1.json" >>"$dir/daemon$1.log" 2>&1 &
	echo $! >"$dir/daemon$1.pid"
}
restart_daemon() { # restart_daemon N: stops daemon N gracefully and starts it again
	old_pid=$(pid "$1")
	kill -TERM "$old_pid"
	while kill -0 "$old_pid" 2>/dev/null; do sleep 0.1; done
	start_daemon "$1"
}
pid() { # pid N: prints the process id of daemon N
	cat "$dir/daemon$1.pid"
}
set_faults() { # set_faults TARGET BODY: TARGET is the port without PORT_BASE, path and query
	curl -sf -X PUT -d "$2" "http://127.0.0.1:${base}$1" >/dev/null
}
inject_fault() {
	sleep 6
	case $fault in
	kill) kill -KILL "$(pid 2)"; sleep 5; start_daemon 2 ;;
	restart) restart_daemon 3 ;;
	both) kill -KILL "$(pid 2)"; sleep 5; start_daemon 2; sleep 5; restart_daemon 3 ;;
	pause) kill -STOP "$(pid 2)"; sleep 5; kill -CONT "$(pid 2)" ;;
	outage) set_faults 000/v1/faults '{"Outage": true}'; sleep 10; set_faults 000/v1/faults '{}' ;;
	lose) set_faults 000/v1/faults '{"LoseAnswers": 0.33, "LandLateMs": 300}' ;;
	hang) set_faults '901/v1/faults?Server=server1' '{"Hang": true}' ;;
	slow) set_faults '901/v1/faults?Server=server1' '{"SlowFactor": 5}' ;;
	leave) set_faults '901/v1/leave?Server=server1' '{}' ;;
	failfast) set_faults '901/v1/faults?Server=server1' '{"FailAll": true}' ;;
	esac
}
addresses() { # addresses PREFIX: prints the addresses of all daemons, separated by commas
	seq -f "127.0.0.1:${base}$1%02g" -s , 1 "$daemons"
}
inject_fault &
injector_pid=$!
code=0
bin/guavayoke-load run -workload "$workload" -rate "${RATE:-900}" -length "${LENGTH:-26s}" -fault-at 6s \
	-callers "$(addresses 1)" -operators "$(addresses 3)" \
	-controls "127.0.0.1:${base}901,127.0.0.1:${base}902,127.0.0.1:${base}903" ${EXTRA:-} || code=$?
wait $injector_pid
bin/guavayoke status -settings "$dir/guavayoke.json" -env production
exit $code
