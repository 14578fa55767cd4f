#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-rig ./review/_rig
