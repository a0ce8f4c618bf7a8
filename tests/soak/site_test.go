// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// site is a stand-in of the users' platform, after its published interface:
// servers that register themselves, an operator, and what both saw.
type site struct {
	control []string

	mu sync.Mutex
	// runs counts how often a server started to work on a request.
	runs map[string]int
	// given counts the tokens that servers gave a tenant.
	given map[string]uint64
	// counted holds requests whose prompt has been counted.
	counted map[string]bool
	acked   uint64
	servers []*server
	broken  []string
	// ended counts, by body, the servers that ended under a call.
	ended map[string]int
	// presences says when requests came and went, by id.
	presences map[string]*presence
	// readTime is how long servers take to the head of some answers; it is set before
	// callers send.
	readTime time.Duration
	// fresh is how many ids were given out.
	fresh int
	// cleanups end what started during the test.
	cleanups []func()
	// failures are the statuses that servers gave to a request as failures of their own,
	// broke says that one broke off its answer.
	failures map[string]map[int]bool
	broke    map[string]bool
	// copies counts, by id, the copies of stopped runs; moved how many there were.
	copies map[string]int
	moved  int
	// reasons say which answers may break off.
	reasons *reasons
}

// atEnd has something done at the end of the test.
func (s *site) atEnd(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cleanups = append(s.cleanups, do)
}

func (s *site) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, do := range s.cleanups {
		do()
	}
}

func newSite(control []string) *site {
	return &site{control: control, runs: map[string]int{}, given: map[string]uint64{}, counted: map[string]bool{}, ended: map[string]int{}, presences: map[string]*presence{}, failures: map[string]map[int]bool{}, broke: map[string]bool{}, copies: map[string]int{}, reasons: newReasons()}
}

// breaks notes a promise that was not kept.
func (s *site) breaks(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

func (s *site) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// began notes that a server works on a request.
func (s *site) began(id, tenant string, prompt uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	if !s.counted[id] {
		s.counted[id] = true
		s.given[tenant] += prompt
	}
}

func (s *site) gave(tenant string, tokens uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.given[tenant] += tokens
}

const (
	engineService = "engines"
	plainService  = "portal"
	stride        = 5
	beatPause     = 200 * time.Millisecond
	callTimeout   = time.Second
)

// server is one start of a model engine or of a plain service.
type server struct {
	site    *site
	id      string
	service string
	http    *http.Server
	link    *link

	mu       sync.Mutex
	state    string
	sequence int
	// born is when the server started, in milliseconds of Unix time.
	born int64
	// ackedLeave is when it was acknowledged that the server leaves.
	ackedLeave time.Time
	// failShare is the part of requests that get no answer.
	failShare float64
	// oddShare is the part that is answered in odd forms.
	oddShare float64
	// runs are the calls that it answers; reading is held while it reads a long prompt.
	runs    map[string]*run
	reading sync.RWMutex
	// limits are the limits that the server has named, the present one last.
	limits []namedLimit
	// arrivals are when requests came, oldest first, while it named a limit.
	arrivals []time.Time
	rng      *rand.Rand
	quit     chan struct{}
	stopping sync.Once
}

// all returns the servers that have started so far.
func (s *site) all() []*server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.servers)
}

// freshID returns the id of a server that was not there before.
func (s *site) freshID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fresh++
	return fmt.Sprintf("i-new-%d", s.fresh)
}

func (s *site) start(id, service string, seed int64) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy, err := newLink(l.Addr().String())
	if err != nil {
		return nil, err
	}
	sv := &server{site: s, id: id, service: service, link: proxy, state: "ready", born: time.Now().UnixMilli(), rng: rand.New(rand.NewSource(seed)), quit: make(chan struct{}), runs: map[string]*run{}}
	sv.http = &http.Server{Handler: sv, ConnContext: keepConn}
	go func() { _ = sv.http.Serve(stutterListener{l}) }()
	go sv.beats()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, sv)
	return sv, nil
}

func (sv *server) stop() {
	sv.stopping.Do(func() {
		close(sv.quit)
		_ = sv.http.Close()
		sv.link.close()
	})
}

func (sv *server) beats() {
	for {
		sv.beat()
		select {
		case <-sv.quit:
			return
		case <-time.After(beatPause):
		}
	}
}

func (sv *server) beat() {
	sv.mu.Lock()
	sv.sequence++
	state := sv.state
	body, _ := json.Marshal(map[string]any{
		"service": sv.service, "address": sv.link.address, "zone": "zone-a", "version": "v1", "slots": 8,
		"state": state, "cold_remaining_ms": 0, "sequence": sv.sequence, "born": sv.born,
	})
	sv.mu.Unlock()
	for _, address := range sv.site.control {
		if status, _ := put("http://"+address+"/api/instances/"+sv.id, body); status == http.StatusOK {
			sv.mu.Lock()
			if state == "draining" && sv.ackedLeave.IsZero() {
				sv.ackedLeave = time.Now()
			}
			sv.mu.Unlock()
			return
		}
	}
}

func (sv *server) drain() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.state = "draining"
}

var asker = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

func put(url string, body []byte) (int, error) {
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := asker.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

// drainBound is how long after the acknowledgement a request may still come.
const drainBound = 5 * time.Second

// ServeHTTP implements http.Handler.
func (sv *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if sv.order(w, r) {
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
	left, fails := sv.ackedLeave, sv.rng.Float64() < sv.failShare
	sv.arrived(w.Header())
	sv.mu.Unlock()
	if !left.IsZero() && time.Since(left) > drainBound {
		sv.site.breaks("server %s got request %s %s after it was acknowledged that it leaves", sv.id, id, time.Since(left))
	}
	if r.Header.Get("Api-Key") != "" || r.Header.Get("Tenant") == "" {
		sv.site.breaks("server %s was shown key %q and tenant %q of request %s", sv.id, r.Header.Get("Api-Key"), r.Header.Get("Tenant"), id)
	}
	sv.site.reasons.works(id, sv.id)
	if strings.HasPrefix(string(body), fatalBody) {
		sv.endUnder(w, r, string(body))
	}
	if want := "body of " + id; string(body) != want {
		sv.site.breaks("request %s came with body %q", id, body)
	}
	sv.site.came(id)
	defer sv.site.gone(id)
	prompt, limit := tokensOf(r.Header.Get("Token-Count"))
	w.Header().Set("Attempt-Id", id)
	if r.Header.Get("Kv-From") == "" {
		sv.site.began(id, r.Header.Get("Tenant"), prompt)
		sv.read(prompt)
	} else if !sv.site.goesOn(id) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if fails {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Server-Signature", sv.id)
	if sv.odd(w, r, id, sv.form(r)) {
		return
	}
	if strings.HasPrefix(r.URL.Path, "/plain/") {
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

// events is how many events an answer has.
func events(limit uint64) int { return int(limit) / stride }

func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// stream hands events out from the one after the last that the caller has.
func (sv *server) stream(w http.ResponseWriter, r *http.Request, id string, limit uint64) {
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	if sv.site.readTime > 0 && strings.HasSuffix(id, "1") {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(sv.site.readTime):
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	run := sv.begin(id)
	defer sv.end(id)
	for n := first; n < events(limit); n++ {
		sv.reading.RLock()
		//lint:ignore SA2001 events are only held up while a prompt is read
		sv.reading.RUnlock()
		select {
		case <-r.Context().Done():
			return
		case <-run.stopped:
			panic(http.ErrAbortHandler)
		case <-sv.quit:
			panic(http.ErrAbortHandler)
		case <-time.After(eventPause):
		}
		sv.site.gave(r.Header.Get("Tenant"), stride)
		if _, err := io.WriteString(w, event(id, n)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

const eventPause = 4 * time.Millisecond

// prepaid is the budget of the tenants; the last one's is small.
const (
	prepaid      = 40_000_000
	prepaidSmall = 12_000
)

// configuration is the operator's document.
func configuration(version uint64, keys ...string) []byte {
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
			map[string]any{"name": engineService, "health_path": "/healthz", "max_connections": 100, "engine": map[string]any{"slots": 8, "kv_capacity_tokens": 100000, "stride": stride, "moves": true}},
			map[string]any{"name": plainService, "health_path": "/healthz", "max_connections": 100},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "large", "api_keys": append([]string{"key-large"}, keys...), "priority": 1, "prepaid": prepaid},
			map[string]any{"name": "small", "api_keys": []string{"key-small"}, "priority": 1, "prepaid": prepaidSmall},
		},
	}
	body, _ := json.Marshal(document)
	return body
}

// configure sends a configuration to any control box until one acknowledges
// it or the limit has passed.
func (s *site) configure(version uint64, limit time.Duration, keys ...string) bool {
	body := configuration(version, keys...)
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for _, address := range s.control {
			if status, _ := put("http://"+address+"/api/configuration", body); status == http.StatusOK {
				s.mu.Lock()
				s.acked = max(s.acked, version)
				s.mu.Unlock()
				return true
			}
		}
	}
	return false
}

// readVersion reads the configuration at one control box; zero without answer.
func readVersion(address string) uint64 {
	resp, err := asker.Get("http://" + address + "/api/configuration")
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

// checkReads compares reads with what was acknowledged before them.
func (s *site) checkReads() {
	for _, address := range s.control {
		s.mu.Lock()
		acked := s.acked
		s.mu.Unlock()
		if version := readVersion(address); version != 0 && version < acked {
			s.breaks("%s read back version %d after %d was acknowledged", address, version, acked)
		}
	}
}
