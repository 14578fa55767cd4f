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
# format TOOL fails if a formatter names files on its standard output. Its standard error
# is passed on: the go command reports there what it downloads.
format() {
	if out=$(go tool "$1" -l .); then
		[ -z "$out" ] || fail "$1 would change:" $out
	else
		fail "$1 itself failed with exit code $?"
	fi
}
# changes prints the hash and name of each file that differs from the index or is untracked.
# Benches may write to journal at any time, and no generator does.
changes() {
	git ls-files --modified --others --exclude-standard -- . ':!journal' >"$work/names"
	sort -u "$work/names" | while IFS= read -r f; do
		echo "$(git hash-object -- "$f" 2>/dev/null || echo deleted) $f"
	done
}
work=$(mktemp -d)
finish() {
	code=$?
	rm -rf "$work"
	[ $code -eq 0 ] || [ $failed = 1 ] || echo "check.sh: stopped with exit code $code before all checks had run" >&2
}
trap finish EXIT

format gofumpt
format goimports
go vet ./... || fail "go vet failed"
go tool staticcheck ./... || fail "staticcheck failed"
go tool errcheck -ignoretests -exclude scripts/errcheck.txt ./... || fail "errcheck failed"
go mod tidy -diff >/dev/null || fail "go mod tidy failed or would change go.mod or go.sum"
changes >"$work/before"
go generate ./... || fail "go generate failed"
changes >"$work/after"
# A file that go generate reverts to the index is in the list before only.
changed=$(sort "$work/before" "$work/after" | uniq -u | cut -d' ' -f2- | sort -u)
[ -z "$changed" ] || fail "generated files are out of date; changed during go generate:" $changed
exit $failed
