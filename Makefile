# Front door of the project. Two commands for a fresh machine: make run, make test.
GO ?= go
export CGO_ENABLED = 1
TOOL = $(GO) tool -modfile=tools/go.mod
GOPLS_VERSION = v0.21.1
BIN = bin
RACE_COUNT ?= 1

.PHONY: build run up test fmt lint vet tools generate check-generate unit bench bench-policies bench-capacity bench-fleet fuzz soak versions regression clean

build:
	$(GO) build -o $(BIN)/ ./cmd/havenwinchd ./cmd/havenwinch ./standin

run: build
	$(GO) run ./tests/tour

up: build
	$(GO) run ./tests/tour --stay

test: check-fmt vet lint check-generate build unit

check-fmt:
	@files=$$(gofmt -l $$(git ls-files '*.go' | grep -v '^gen/')); \
	if [ -n "$$files" ]; then echo "not formatted, run make fmt:"; echo "$$files"; exit 1; fi

fmt:
	gofmt -w $$(git ls-files '*.go' | grep -v '^gen/')

vet:
	$(GO) vet ./...

lint:
	$(TOOL) staticcheck ./...
	$(TOOL) buf lint

# Installs gopls, which renames identifiers with every use.
tools:
	$(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)

generate:
	$(TOOL) buf generate

# The committed generated code must be what the generator makes.
check-generate:
	@rm -rf .generated && mkdir .generated
	@$(TOOL) buf generate -o .generated
	@diff -r gen .generated/gen || { echo "generated code is stale, run make generate"; rm -rf .generated; exit 1; }
	@rm -rf .generated

# Tests of tests/soak that take about two thirds of its time are run by commands of their own, each with the time
# limit of a package.
LONG = ^TestSoak\z|^TestServersWithARejectionLimitStayUp|^TestTargetsThatSendWithoutEnd\z|^TestTargetsThatStopReading\z|^TestTargetsOfUnevenSpeed\z
ENDS = ^TestAnswersThatEndEarly\z|^TestMemoryUnderBytesWithoutEnd\z|^TestStreamsKeepTheirSoftwareAtABoxOutOfStep\z
# SKIP is set by .ci/run from KNOWN-RED.txt and empty otherwise. All commands run, and all must pass.
unit:
	@status=0; set -x; \
	$(GO) test -race -count=$(RACE_COUNT) -skip '$(LONG)|$(ENDS)$(if $(SKIP),|$(SKIP))' ./... || status=1; \
	$(GO) test -race -count=$(RACE_COUNT) -run '$(LONG)' $(if $(SKIP),-skip '$(SKIP)') ./tests/soak || status=1; \
	$(GO) test -race -count=$(RACE_COUNT) -run '$(ENDS)' $(if $(SKIP),-skip '$(SKIP)') ./tests/soak ./tests/integration || status=1; \
	exit $$status

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

CHECKS ?= 20000
FUZZTIME ?= 20s
fuzz: export HAVENWINCH_FUZZ = 1
bench-policies:
	$(GO) run ./measure/allotment
	$(GO) run ./measure/routing

bench-capacity:
	$(GO) test -run '^$$' -bench . -benchtime=0.5s -timeout 15m ./measure/capacity
	$(GO) test -run '^$$' -bench 'Choose|Idle|ReserveStartSettle|Queue' ./models/...

bench-fleet: build
	$(GO) run ./measure/fleet

fuzz:
	$(GO) test ./modules/raft ./models/ledger ./models/state ./models/quarantine ./models/rate ./modules/reply ./services/quarantine ./services/forward -run TestRandom -rapid.checks=$(CHECKS)
	$(GO) test ./platform -run '^$$' -fuzz FuzzInstance -fuzztime $(FUZZTIME)
	$(GO) test ./platform -run '^$$' -fuzz FuzzEnd -fuzztime $(FUZZTIME)
	$(GO) test ./platform -run '^$$' -fuzz FuzzReport -fuzztime $(FUZZTIME)
	$(GO) test ./platform -run '^$$' -fuzz FuzzLimit -fuzztime $(FUZZTIME)
	$(GO) test ./services/forward -run '^$$' -fuzz FuzzAnswers -fuzztime $(FUZZTIME)
	$(GO) test ./services/engine -run '^$$' -parallel 1 -fuzz FuzzAnswers -fuzztime $(FUZZTIME)
	$(GO) test ./routers/gateway -run '^$$' -fuzz FuzzRequests -fuzztime $(FUZZTIME)

SEEDS ?= 1000,50
soak:
	SOAK_SEEDS=$(SEEDS) $(GO) test -race -run TestSoak -timeout 60m -v ./tests/soak

# EARLIER is the folder of havenwinchd as an earlier version built it, with -race.
versions:
	@test -x "$(EARLIER)/havenwinchd" || { echo "set EARLIER to the folder of an earlier havenwinchd"; exit 1; }
	HAVENWINCH_EARLIER_BIN=$(abspath $(EARLIER)) $(GO) test -race -count=1 -v -run 'Version' ./tests/integration ./tests/soak

# BENCH is the users' bench, SITES the folder of their deployments, WHY a line for the journal.
REGRESSION = large/aulatrece-havenwinch-large further/plma-suva further-grown/plma-suva-grown \
	grown/aulatrece-havenwinch-grown grown/kadsutera-havenwinch-grown
JOBS ?= 3
regression:
	@test -x "$(BENCH)" || { echo "set BENCH to the users' bench"; exit 1; }
	@test -d "$(SITES)" || { echo "set SITES to the folder of their deployments"; exit 1; }
	@test -n "$(WHY)" || { echo "set WHY to what the run is for"; exit 1; }
	$(BENCH) score $(REGRESSION:%=$(SITES)/%.toml) --quick --jobs $(JOBS) --why "$(WHY)"

clean:
	rm -rf $(BIN) .generated
