# make demo: builds, runs a small cluster and real work with a kill in the
#            middle, prints answers and the burn report, stops it gracefully.
# make test: the tests. make check: formatter, linters, generated code, models.

.PHONY: build test check demo race generate

build:
	go build -o bin/ ./cmd/...

test:
	go test -timeout 600s ./...

race:
	go test -race -timeout 900s ./...

generate:
	go generate ./...

check:
	scripts/check.sh

demo: build
	scripts/demo.sh
