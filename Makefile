# Two commands do everything: "make run" runs the main job on embedded
# stand-ins, "make test" passes the tests.
.PHONY: run test check generate

run:
	./scripts/run.sh

test:
	go test ./...

check:
	./.ci/run
