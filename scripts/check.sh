#!/bin/sh
# Checks the formatting, go vet, the linters, generated code and module files. Prints
# each failed check and exits with 1 if there is one.
set -eu
cd "$(dirname "$0")/.."
failed=0
fail() {
	echo "check.sh: $*" >&2
	failed=1
}
out=$(go tool gofumpt -l . 2>&1) || true
[ -z "$out" ] || fail "gofumpt would change: $out"
out=$(go tool goimports -l . 2>&1) || true
[ -z "$out" ] || fail "goimports would change: $out"
go vet ./... || fail "go vet failed"
go tool staticcheck ./... || fail "staticcheck failed"
go tool errcheck -ignoretests -exclude scripts/errcheck.txt ./... || fail "errcheck failed"
go mod tidy -diff >/dev/null || fail "go mod tidy would change go.mod or go.sum"
before=$(git status --porcelain)
go generate ./... || fail "go generate failed"
[ "$before" = "$(git status --porcelain)" ] || fail "generated files are out of date"
exit $failed
