# make demo: builds, runs a small cluster and real work with a kill in the
#            middle, prints answers and the burn report, stops it gracefully.
# make soak: daemons as processes on the stand-in of the users' platform, 20 s of
#            faults from seed 1; SEED and SEEDS name others.
# make test: the tests. make check: formatter, linters, generated code, models.

.PHONY: build test check demo soak jobs soak-regressions race generate

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

SEED ?= 1
SEEDS ?= 1
soak: build
	bin/guavayoke-soak -seed $(SEED) -seeds $(SEEDS) -duration 20s

# jobs plays a load of jobs with daemons and stand-ins of its own.
jobs: build
	bin/guavayoke-load jobs

# soak-regressions plays the seeds that failed once.
soak-regressions: build
	bin/guavayoke-soak -regressions -duration 20s
