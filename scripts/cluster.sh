#!/bin/sh
# Writes the settings of a small cluster on loopback addresses and starts it.
# Usage: cluster.sh DIR BIN DAEMONS DOMAINS SERVERS SLOTS
# DIR gets settings, logs and one file with a process id for each process.
set -eu
dir=$1 bin=$2 daemons=$3 domains=$4 servers=$5 slots=$6
key=00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
platform=127.0.0.1:${PORT_BASE:-17}000
base=${PORT_BASE:-17}
mkdir -p "$dir"

start() { # start NAME COMMAND...
	name=$1
	shift
	"$@" >>"$dir/$name.log" 2>&1 &
	echo $! >"$dir/$name.pid"
}

cat >"$dir/platform.json" <<EOF
{"Address": "$platform", "HostLagMs": 500}
EOF
start platform "$bin/guavayoke-standin" platform "$dir/platform.json"

d=1
while [ "$d" -le "$domains" ]; do
	list=
	s=$d
	while [ "$s" -le "$servers" ]; do
		one=$(printf '{"Name": "server%d", "Service": "booking", "Address": "127.0.0.1:%s%03d", "FailureDomain": "domain%d", "Slots": %d}' "$s" "$((base + 1))" "$s" "$d" "$slots")
		list="$list${list:+, }$one"
		s=$((s + domains))
	done
	printf '{"PlatformAddresses": ["%s"], "ControlAddress": "127.0.0.1:%s%03d", "Servers": [%s]}\n' \
		"$platform" "$base" "$((900 + d))" "$list" >"$dir/backend$d.json"
	start "backend$d" "$bin/guavayoke-standin" backend "$dir/backend$d.json"
	d=$((d + 1))
done

# With RELAY set, the daemons of the last failure domain reach the platform
# through a relay that can be cut.
last=$platform
if [ -n "${RELAY:-}" ]; then
	last=127.0.0.1:${base}950
	printf '{"Address": "%s", "Target": "%s", "ControlAddress": "127.0.0.1:%s951"}\n' "$last" "$platform" "$base" >"$dir/relay.json"
	start platform-relay "$bin/guavayoke-standin" relay "$dir/relay.json"
fi

callers= operators=
n=1
while [ "$n" -le "$daemons" ]; do
	callers="$callers${callers:+, }\"127.0.0.1:${base}1$(printf %02d "$n")\""
	operators="$operators${operators:+, }\"127.0.0.1:${base}3$(printf %02d "$n")\""
	domain=$(((n - 1) % domains + 1))
	store=$platform
	[ "$domain" != "$domains" ] || store=$last
	cat >"$dir/daemon$n.json" <<EOF
{
  "Name": "entry$n", "Environment": "production", "Region": "region1",
  "FailureDomain": "domain$domain",
  "CallerAddress": "127.0.0.1:${base}1$(printf %02d "$n")",
  "PeerAddress": "127.0.0.1:${base}2$(printf %02d "$n")",
  "OperatorAddress": "127.0.0.1:${base}3$(printf %02d "$n")",
  "PlatformAddresses": ["$store"],
  "Seeds": ["127.0.0.1:${base}201"],
  "PeerKey": "$key", "StopLimitMs": 20000, "LogLevel": "info"
}
EOF
	start "daemon$n" "$bin/guavayoked" -settings "$dir/daemon$n.json"
	n=$((n + 1))
done

cat >"$dir/guavayoke.json" <<EOF
{
  "By": "operator1", "PeerKey": "$key",
  "Environments": [
    {"Name": "production", "PlatformAddresses": ["$platform"], "OperatorAddresses": [$operators], "CallerAddresses": [$callers]},
    {"Name": "trial", "PlatformAddresses": ["$platform"], "OperatorAddresses": [], "CallerAddresses": []}
  ]
}
EOF
