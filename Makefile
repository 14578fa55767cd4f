# make demo:  builds the programs, runs a small cluster, submits real work, kills a
#             daemon during a load, prints the answers and the burn report, and stops
#             the cluster gracefully.
# make soak:  runs daemons as processes against the stand-in of the users' platform
#             with 20 s of injected faults for each seed. SEED is the first seed and
#             SEEDS their number; both default to 1.
# make test:  runs the tests. Those that start a daemon's process with little memory run
#             after the others.
# make check: checks formatting and generated code and runs the linters.

.PHONY: build test check demo soak jobs soak-regressions regression race generate

build:
	go build -o bin/ ./cmd/...

test:
	go test -timeout 1200s $(TESTFLAGS) $$(go list ./... | grep -v /cmd/guavayoked$$)
	go test -timeout 1200s $(TESTFLAGS) ./cmd/guavayoked

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

# make jobs: runs a load of jobs on daemons and stand-ins that it starts.
jobs: build
	bin/guavayoke-load jobs

# make soak-regressions: runs the soak with the seeds that once found a fault.
soak-regressions: build
	bin/guavayoke-soak -regressions -duration 20s

# make regression: scores the users' deployments with their bench, BENCH, and the site
#                  files below SITES, and compares them with the committed journal.
#                  ARGS may hold flags and names of deployments.
regression: build
	bin/guavayoke-load regression -bench "$(BENCH)" -sites "$(SITES)" $(ARGS)
