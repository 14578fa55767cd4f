#!/bin/sh
# Builds what the scripts of the cases from 6 on start besides the daemon, after the build of the
# deploy file.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/rig2 ./review/_rig2
