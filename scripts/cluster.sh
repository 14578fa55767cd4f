#!/bin/sh
# Starts a small cluster on loopback addresses: a stand-in of the platform, one process
# of backend servers for each failure domain, and daemons.
# Usage: cluster.sh DIR BIN DAEMONS DOMAINS SERVERS SLOTS
# SERVERS is the number of backend servers in all domains together, SLOTS the number of
# slots of each server.
# BIN holds the programs. DIR receives the settings, the logs and a file with the
# process id of each process. PORT_BASE (17 by default) holds the leading digits of all
# ports, except that the ports of backend servers begin with PORT_BASE + 1.
set -eu
dir=$1 bin=$2 daemons=$3 domains=$4 servers=$5 slots=$6
key=00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
platform=127.0.0.1:${PORT_BASE:-17}000
base=${PORT_BASE:-17}
mkdir -p "$dir"

start() { # start NAME COMMAND...: runs COMMAND in the background
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
	entries=
	s=$d
	while [ "$s" -le "$servers" ]; do
		entry=$(printf '{"Name": "server%d", "Service": "booking", "Address": "127.0.0.1:%s%03d", "FailureDomain": "domain%d", "Slots": %d}' "$s" "$((base + 1))" "$s" "$d" "$slots")
		entries="$entries${entries:+, }$entry"
		s=$((s + domains))
	done
	printf '{"PlatformAddresses": ["%s"], "ControlAddress": "127.0.0.1:%s%03d", "Servers": [%s]}\n' \
		"$platform" "$base" "$((900 + d))" "$entries" >"$dir/backend$d.json"
	start "backend$d" "$bin/guavayoke-standin" backend "$dir/backend$d.json"
	d=$((d + 1))
done

# If RELAY is set, the daemons of the last failure domain connect to the platform
# through a relay that can cut the connection.
last_domain_platform=$platform
if [ -n "${RELAY:-}" ]; then
	last_domain_platform=127.0.0.1:${base}950
	printf '{"Address": "%s", "Target": "%s", "ControlAddress": "127.0.0.1:%s951"}\n' "$last_domain_platform" "$platform" "$base" >"$dir/relay.json"
	start platform-relay "$bin/guavayoke-standin" relay "$dir/relay.json"
fi

callers= operators=
n=1
while [ "$n" -le "$daemons" ]; do
	callers="$callers${callers:+, }\"127.0.0.1:${base}1$(printf %02d "$n")\""
	operators="$operators${operators:+, }\"127.0.0.1:${base}3$(printf %02d "$n")\""
	domain=$(((n - 1) % domains + 1))
	daemon_platform=$platform
	[ "$domain" != "$domains" ] || daemon_platform=$last_domain_platform
	cat >"$dir/daemon$n.json" <<EOF
{
  "Name": "entry$n", "Environment": "production", "Region": "region1",
  "FailureDomain": "domain$domain",
  "CallerAddress": "127.0.0.1:${base}1$(printf %02d "$n")",
  "PeerAddress": "127.0.0.1:${base}2$(printf %02d "$n")",
  "OperatorAddress": "127.0.0.1:${base}3$(printf %02d "$n")",
  "PlatformAddresses": ["$daemon_platform"],
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
