#!/bin/sh
# Formatter, vet, linters, generated code and module files. Prints what differs.
set -eu
cd "$(dirname "$0")/.."
failed=0
fail() {
	echo "check.sh: $*" >&2
	failed=1
}
out=$(go tool gofumpt -l . 2>&1) || true
[ -z "$out" ] || fail "gofumpt differs: $out"
out=$(go tool goimports -l . 2>&1) || true
[ -z "$out" ] || fail "goimports differs: $out"
go vet ./... || fail "vet"
go tool staticcheck ./... || fail "staticcheck"
go tool errcheck -ignoretests -exclude scripts/errcheck.txt ./... || fail "errcheck"
go mod tidy -diff >/dev/null || fail "go mod tidy differs"
before=$(git status --porcelain)
go generate ./... || fail "generate"
[ "$before" = "$(git status --porcelain)" ] || fail "generated files differ"
exit $failed
