# Two commands do everything: "make run" runs the main job on embedded
# stand-ins, "make test" passes the tests.
.PHONY: run hosted soak test race check mutants fuzz slopes failover changes compare stops domain-lost pauses generate

run:
	./scripts/run.sh
	./scripts/hosted.sh

# Only the daemon of a hosted platform, with its stand-in.
hosted:
	./scripts/hosted.sh

# Faults from outside against real processes: the seeds that failed once, and
# fresh ones: make soak FRESH=50
FRESH ?= 10
soak:
	go build -o bin/ ./cmd/...
	bin/cicada-soak --kept --fresh $(FRESH) --quiet

# Tests that are listed in KNOWN-RED.txt, and only those, may fail: they are run apart
# and printed.
test:
	skip="$$(scripts/known-red.sh pattern)" && go test $${skip:+-skip "$$skip"} ./...
	scripts/known-red.sh run

# What CI runs.
check:
	./.ci/run

# Breaks one rule of the code at a time and expects the tests to notice; minutes.
mutants:
	go run ./tools/mutants

# A longer search than the tests make, from another seed: make fuzz SEED=7
SEED ?= 1
fuzz:
	go test ./ownership -run AtMostOneOwner -timeout 60m -rapid.checks=20000 -rapid.steps=60 -rapid.seed=$(SEED) -v

# Cost of control by size, then at the size of one failure domain of the plan.
slopes:
	go run ./cmd/cicada-bench slopes
	go run ./cmd/cicada-bench slopes --large

failover:
	go run ./cmd/cicada-bench failover

changes:
	go run ./cmd/cicada-bench changes

# The system and a bare pass-through side by side.
compare:
	./scripts/compare.sh

# Planned stops of every part under load.
stops:
	./scripts/stops.sh

# All entry hosts of a failure domain lost, and the domain declared lost.
domain-lost:
	./scripts/domain-lost.sh

# Parts paused for longer than their leases, again and again: make pauses SEED=2
pauses:
	SEED=$(SEED) ./scripts/pauses.sh

generate:
	go run github.com/google/wire/cmd/wire ./host
	./link/linkpb/generate.sh

# The packages of the hosted daemon under the race detector.
race:
	go test -race ./gateway/... ./keyspace ./balance ./fleet ./platform/... ./poison
