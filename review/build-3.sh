#!/bin/sh
# Builds the rig of the third review: the stand-ins and the cases. Run it in the repository's root,
# after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-rig3 ./review/_rig3
