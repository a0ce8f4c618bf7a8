// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// platform simulates the users' platform as its published interface describes it: servers
// that register themselves and an operator. It records what both observe.
type platform struct {
	control []string

	mu sync.Mutex
	// runs counts, by request id, how often a server executed a request.
	runs map[string]int
	// tokensUsed has the tokens that each tenant has used at servers.
	tokensUsed map[string]uint64
	// promptCounted has the requests whose prompt is included in tokensUsed.
	promptCounted map[string]bool
	// ackedVersion is the highest configuration version that control acknowledged.
	ackedVersion uint64
	servers      []*server
	// violations describes the violations found so far.
	violations []string
	// crashes counts the server crashes, by body of the call.
	crashes map[string]int
	// visits has the times of arrival and completion, by request id.
	visits map[string]*visits
	// headDelay delays the response head of streams whose id ends in 1. It must be set
	// before callers send.
	headDelay time.Duration
	// lastNewID is the number of server ids returned by newServerID.
	lastNewID int
	// cleanups run at the end of the test.
	cleanups []func()
	// failures has the error statuses that servers sent, by request id.
	failures map[string]map[int]bool
	// truncated has the ids of the requests with a truncated or unframed answer.
	truncated map[string]bool
	// copies counts, by request id, the unused copies of stopped runs.
	copies map[string]int
	// moved is the number of all runs that were stopped to move them.
	moved int
	// cut has the requests whose connection ended before the answer was complete.
	cut []cutRequest
	// disruptions explains which answers may be truncated.
	disruptions *disruptions
	// coldRate is how many requests a second a cold engine handles, zero if engines are never
	// cold. It must be set before the first configuration.
	coldRate float64
	// eventPause is the time between two events of a stream, and isVersionShown makes servers write
	// their version into each event. They must be set before callers send.
	eventPause     time.Duration
	isVersionShown bool
	// versions are those that engines may be started with, empty for defaultVersion only, and
	// versionsDrawn counts the starts for which one was drawn.
	versions      []string
	versionsDrawn int
	// fatalPart is the part of prompts that crashes servers, nil for none.
	fatalPart *fatalPart
	// rooms has the room of the servers of a service from their start on, nil for none.
	rooms map[string]func(*server)
	// failedUnderRejections counts the servers that failed as they had to reject too many calls.
	failedUnderRejections int
	// evacuated has, by zone, when its evacuation was acknowledged.
	evacuated map[string]time.Time
	// organisations has the budgets of organisations besides "large" and "small", whose key is their
	// name after "key-", and maxBody is the size of the largest body in bytes, zero for
	// defaultMaxBody. They must be set before the first configuration.
	organisations map[string]uint64
	maxBody       int
	// endless has the requests that a server began to answer without end, by id, with the form, and
	// endlessSent counts them by service.
	endless     map[string]string
	endlessSent map[string]int
}

// addCleanup registers a function to call at the end of the test.
func (p *platform) addCleanup(do func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cleanups = append(p.cleanups, do)
}

func (p *platform) cleanUp() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, do := range p.cleanups {
		do()
	}
}

func (p *platform) setFatalPart(f *fatalPart) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fatalPart = f
}

func (p *platform) fatal() *fatalPart {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fatalPart
}

func newPlatform(control []string) *platform {
	return &platform{control: control, eventPause: eventPause, runs: map[string]int{}, tokensUsed: map[string]uint64{}, promptCounted: map[string]bool{}, crashes: map[string]int{}, visits: map[string]*visits{}, failures: map[string]map[int]bool{}, truncated: map[string]bool{}, copies: map[string]int{}, disruptions: newDisruptions(), evacuated: map[string]time.Time{}, endless: map[string]string{}, endlessSent: map[string]int{}}
}

// recordViolation records a violation, which fails the test at its end.
func (p *platform) recordViolation(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.violations = append(p.violations, fmt.Sprintf(format, args...))
}

func (p *platform) runCount(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[id]
}

// recordRun records that a server executes a request. The prompt counts once per request.
func (p *platform) recordRun(id, tenant string, prompt uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[id]++
	if !p.promptCounted[id] {
		p.promptCounted[id] = true
		p.tokensUsed[tenant] += prompt
	}
}

func (p *platform) recordTokens(tenant string, tokens uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokensUsed[tenant] += tokens
}

const (
	engineService     = "engines"
	plainService      = "portal"
	stride            = 5
	heartbeatInterval = 200 * time.Millisecond
	callTimeout       = time.Second
	defaultZone       = "zone-a"
	defaultVersion    = "v1"
)

// server simulates one instance of a model engine or of a plain service.
type server struct {
	platform *platform
	id       string
	service  string
	zone     string
	// version is the version of the server's software.
	version string
	// registerAfter is how long after its start the server registers itself.
	registerAfter time.Duration
	http          *http.Server
	link          *link

	mu       sync.Mutex
	state    string
	sequence int
	// startedAt is the start time in Unix milliseconds.
	startedAt int64
	// coldUntil is until when the server is cold, and coldArrivals has the times of all requests
	// received while it was.
	coldUntil    time.Time
	coldArrivals []time.Time
	// drainAckedAt is when control acknowledged that the server is draining.
	drainAckedAt time.Time
	// failShare is the share of requests that get no answer.
	failShare float64
	// faultyShare is the share of requests that get a faulty answer.
	faultyShare float64
	// runs has the answers being generated, by request id.
	runs map[string]*run
	// prefillMu is write-locked during the prefill of a long prompt.
	prefillMu sync.RWMutex
	// limits are the rate limits announced so far, the current one last.
	limits []announcedLimit
	// arrivals are the times of the requests received under a rate limit, oldest first.
	arrivals []time.Time
	// room limits the requests that the server works on at once; nil for no limit.
	room *room
	// speed is how fast the server works, 1 at the nominal speed; zero if nothing takes time but the
	// pauses between events and long prompts.
	speed float64
	// calls counts the requests received.
	calls int
	// isEndless is set if the server answers without end.
	isEndless bool
	rng       *rand.Rand
	quit      chan struct{}
	stopping  sync.Once
}

// all returns all servers started so far, including those that have stopped.
func (p *platform) all() []*server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.servers)
}

// newServerID returns a server id that has not been used before.
func (p *platform) newServerID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastNewID++
	return fmt.Sprintf("i-new-%d", p.lastNewID)
}

func (p *platform) startServer(id, service string, seed int64) (*server, error) {
	return p.startServerIn(defaultZone, id, service, time.Time{}, seed)
}

// startServerIn starts a server in a zone, which is cold until the given time.
func (p *platform) startServerIn(zone, id, service string, coldUntil time.Time, seed int64) (*server, error) {
	return p.launch(&server{id: id, service: service, zone: zone, version: defaultVersion, coldUntil: coldUntil}, seed)
}

// launch starts a server that has its names and its version.
func (p *platform) launch(sv *server, seed int64) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if sv.link == nil {
		sv.link, err = newLink(l.Addr().String())
	} else {
		sv.link.retarget(l.Addr().String())
	}
	if err != nil {
		return nil, err
	}
	sv.platform, sv.state, sv.startedAt = p, "ready", time.Now().UnixMilli()
	sv.rng, sv.quit, sv.runs = rand.New(rand.NewSource(seed)), make(chan struct{}), map[string]*run{}
	if set := p.rooms[sv.service]; set != nil && sv.room == nil {
		set(sv)
	}
	sv.http = &http.Server{Handler: sv, ConnContext: withConn, ConnState: sv.holdSlotForConnection}
	go func() { _ = sv.http.Serve(repeatingListener{l}) }()
	go sv.sendHeartbeats()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers = append(p.servers, sv)
	return sv, nil
}

func (sv *server) stop() { sv.end(sv.link.close) }

// end ends the server and calls then. It does nothing and returns false if the server has ended before.
func (sv *server) end(then func()) (ended bool) {
	sv.stopping.Do(func() {
		close(sv.quit)
		_ = sv.http.Close()
		then()
		ended = true
	})
	return ended
}

func (sv *server) sendHeartbeats() {
	time.Sleep(sv.registerAfter)
	for {
		sv.sendHeartbeat()
		select {
		case <-sv.quit:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (sv *server) sendHeartbeat() {
	sv.mu.Lock()
	sv.sequence++
	state := sv.state
	body, _ := json.Marshal(map[string]any{
		"service": sv.service, "address": sv.link.address, "zone": sv.zone, "version": sv.version, "slots": sv.slots(),
		"state": state, "cold_remaining_ms": max(0, time.Until(sv.coldUntil).Milliseconds()), "sequence": sv.sequence, "born": sv.startedAt,
	})
	sv.mu.Unlock()
	for _, address := range sv.platform.control {
		if status, _ := put("http://"+address+"/api/instances/"+sv.id, body); status == http.StatusOK {
			sv.mu.Lock()
			if state == "draining" && sv.drainAckedAt.IsZero() {
				sv.drainAckedAt = time.Now()
			}
			sv.mu.Unlock()
			return
		}
	}
}

// defaultSlots is how many slots a server without a limited room announces.
const defaultSlots = 8

// slots returns how many slots the server announces. The caller holds sv.mu.
func (sv *server) slots() int {
	if sv.room != nil {
		return sv.room.slots
	}
	return defaultSlots
}

// leave deregisters the server and ends it once control has acknowledged that.
func (sv *server) leave() error {
	body := fmt.Appendf(nil, `{"born":%d}`, sv.startedAt)
	var err error
	for _, address := range sv.platform.control {
		var status int
		if status, err = send(http.MethodDelete, "http://"+address+"/api/instances/"+sv.id, body); status == http.StatusOK {
			sv.stop()
			return nil
		}
	}
	return fmt.Errorf("no control box has acknowledged that %s leaves: %v", sv.id, err)
}

func (sv *server) drain() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.state = "draining"
}

var httpClient = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

func put(url string, body []byte) (int, error) { return send(http.MethodPut, url, body) }

func send(method, url string, body []byte) (int, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

// drainBound is how long after control has acknowledged that a server is draining a
// request may still arrive there.
const drainBound = 5 * time.Second

// ServeHTTP implements http.Handler.
func (sv *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if sv.handleCommand(w, r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	if r.Header.Get("Expect-Instance") != sv.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	sv.mu.Lock()
	left, fails := sv.drainAckedAt, sv.rng.Float64() < sv.failShare
	sv.calls++
	sv.recordLimited(w.Header())
	sv.recordCold()
	sv.mu.Unlock()
	sv.checkEvacuated(id)
	if !left.IsZero() && time.Since(left) > drainBound {
		sv.platform.recordViolation("server %s received request %s %s after control had acknowledged that it is draining", sv.id, id, time.Since(left))
	}
	if r.Header.Get("Api-Key") != "" || r.Header.Get("Tenant") == "" {
		sv.platform.recordViolation("server %s received API key %q and tenant %q with request %s", sv.id, r.Header.Get("Api-Key"), r.Header.Get("Tenant"), id)
	}
	sv.platform.disruptions.recordWorker(id, sv.id)
	if strings.HasPrefix(string(body), crashBody) {
		sv.crashDuring(w, r, string(body))
	}
	if part := sv.platform.fatal(); part.handle(r) {
		part.recordCrash()
		sv.crashDuring(w, r, "a fatal part")
	}
	padding, _ := strconv.Atoi(r.Header.Get(paddingHeader))
	if want := "body of " + id + strings.Repeat(".", padding); string(body) != want {
		sv.platform.recordViolation("request %s arrived with an unexpected body %q", id, body)
	}
	leave, ok := sv.workInRoom(w, r, id)
	if !ok {
		return
	}
	defer leave()
	sv.platform.recordArrival(id)
	defer sv.platform.recordCompletion(id)
	prompt, limit := tokensOf(r.Header.Get("Token-Count"))
	w.Header().Set("Attempt-Id", id)
	if r.Header.Get("Kv-From") == "" {
		sv.platform.recordRun(id, r.Header.Get("Tenant"), prompt)
		sv.prefill(prompt)
	} else if !sv.platform.takeCopy(id) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if fails {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Server-Signature", sv.id)
	if sv.sendEndless(w, r, id) {
		return
	}
	if sv.sendFaulty(w, r, id, sv.answerForm(r)) {
		return
	}
	if strings.HasPrefix(r.URL.Path, "/plain/") {
		sv.sleepAtSpeed(plainWork)
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	sv.stream(w, r, id, limit)
}

func tokensOf(text string) (prompt, limit uint64) {
	a, b, _ := strings.Cut(text, ",")
	prompt, _ = strconv.ParseUint(a, 10, 64)
	limit, _ = strconv.ParseUint(b, 10, 64)
	return prompt, limit
}

// events returns the number of events in an answer of limit tokens.
func events(limit uint64) int { return int(limit) / stride }

func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// event returns an event of the server. Those of streams that callers take up tell its version.
func (sv *server) event(id string, n int) string {
	if sv.platform.isVersionShown || strings.HasPrefix(id, returningID) {
		return event(sv.version, n)
	}
	return event(id, n)
}

// stream sends the events after the one in Last-Event-Id, or all events without it.
func (sv *server) stream(w http.ResponseWriter, r *http.Request, id string, limit uint64) {
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	if sv.platform.headDelay > 0 && strings.HasSuffix(id, "1") {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(sv.platform.headDelay):
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	run := sv.startRun(id)
	defer sv.endRun(id)
	filler, _ := strconv.Atoi(r.Header.Get(fillerHeader))
	for n := first; n < events(limit); n++ {
		sv.prefillMu.RLock()
		//lint:ignore SA2001 events are only held up while a prompt is read
		sv.prefillMu.RUnlock()
		select {
		case <-r.Context().Done():
			return
		case <-run.stopped:
			panic(http.ErrAbortHandler)
		case <-sv.quit:
			panic(http.ErrAbortHandler)
		case <-time.After(sv.eventPause()):
		}
		sv.platform.recordTokens(r.Header.Get("Tenant"), stride)
		if _, err := io.WriteString(w, withFiller(sv.event(id, n), filler)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

const eventPause = 4 * time.Millisecond

// Token budgets of the tenants "large" and "small".
const (
	prepaid      = 40_000_000
	prepaidSmall = 12_000
)

// defaultMaxBody is the size of the largest body of a request in bytes.
const defaultMaxBody = 64 << 10

// configuration returns a configuration document in which the given keys are additional
// API keys of tenant "large".
func (p *platform) configuration(version uint64, keys ...string) []byte {
	route := func(name, kind string, attempts int, resume bool) map[string]any {
		service := engineService
		if strings.HasPrefix(name, "plain") {
			service = plainService
		}
		return map[string]any{"name": name, "hostname": "site.example", "path_prefix": "/" + name + "/", "type": kind, "timeout_ms": 8000,
			"target_latency_ms": 2000, "itl_target_ms": itlTarget, "priority": 1, "service": service, "max_attempts": attempts, "public": false, "stream_resume": resume}
	}
	document := map[string]any{
		"version": version,
		"routes": []any{
			route("plain/safe", "safe", 2, false), route("plain/unsafe", "unsafe", 1, false),
			route("stream/resume", "streaming", 2, true), route("stream/once", "streaming", 1, false),
		},
		"services": []any{
			map[string]any{"name": engineService, "health_path": "/healthz", "max_connections": 100, "cold_per_s": p.coldRate, "cold_start_s": coldStart.Seconds(), "engine": map[string]any{"slots": 8, "kv_capacity_tokens": 100000, "stride": stride, "moves": true}},
			map[string]any{"name": plainService, "health_path": "/healthz", "max_connections": 100},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": cmp.Or(p.maxBody, defaultMaxBody), "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "large", "api_keys": append([]string{"key-large"}, keys...), "priority": 1, "prepaid": prepaid},
			map[string]any{"name": "small", "api_keys": []string{"key-small"}, "priority": 1, "prepaid": prepaidSmall},
		},
	}
	tenants := document["tenants"].([]any)
	for _, name := range slices.Sorted(maps.Keys(p.organisations)) {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": []string{"key-" + name}, "priority": 1, "prepaid": p.organisations[name]})
	}
	document["tenants"] = tenants
	body, _ := json.Marshal(document)
	return body
}

// configure sends a configuration to the control boxes in turn until one acknowledges it.
// It reports whether that happened within the limit.
func (p *platform) configure(version uint64, limit time.Duration, keys ...string) bool {
	return p.sendConfiguration(version, p.configuration(version, keys...), limit)
}

// sendConfiguration sends a configuration document as configure does.
func (p *platform) sendConfiguration(version uint64, body []byte, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for _, address := range p.control {
			if status, _ := put("http://"+address+"/api/configuration", body); status == http.StatusOK {
				p.mu.Lock()
				p.ackedVersion = max(p.ackedVersion, version)
				p.mu.Unlock()
				return true
			}
		}
	}
	return false
}

// readVersion returns the configuration version at a control box, or 0 if it cannot be read.
func readVersion(address string) uint64 {
	resp, err := httpClient.Get("http://" + address + "/api/configuration")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var document struct {
		Version uint64 `json:"version"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&document) != nil {
		return 0
	}
	return document.Version
}

// checkReads checks that no control box returns a version older than one that was
// acknowledged before the read.
func (p *platform) checkReads() {
	for _, address := range p.control {
		p.mu.Lock()
		acked := p.ackedVersion
		p.mu.Unlock()
		if version := readVersion(address); version != 0 && version < acked {
			p.recordViolation("%s returned configuration version %d after version %d was acknowledged", address, version, acked)
		}
	}
}
