// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"havenwinch.dev/havenwinch/tests/observe"
)

// outcome is the result of a request as its caller sees it.
type outcome struct {
	id     string
	route  string
	status int
	body   string
	// complete is false if the answer was truncated or missing.
	complete   bool
	retryAfter string
	// signed is true if a server, not a box, produced the answer.
	signed bool
	// box is the entry box that received the request.
	box    string
	sentAt time.Time
	// endedAt is when the caller had the answer or gave up.
	endedAt time.Time
}

// callerPool is the state shared by all simulated callers. They reuse their
// connections until the box closes them.
type callerPool struct {
	platform *platform
	// entries are the addresses of the entry boxes; names has their names in the same order.
	entries []string
	names   []string
	seed    int64
	// patience is how long the callers of a rate wait for an answer, zero for answerLimit.
	patience time.Duration

	mu       sync.Mutex
	outcomes []outcome
}

// caller simulates one user with a single connection.
type caller struct {
	// all is the pool of the caller.
	all    *callerPool
	n      int
	rng    *rand.Rand
	conn   net.Conn
	reader *observe.Reader
	count  int
	// entry is one more than the index of the only entry box that the caller uses, zero if it uses
	// any of them.
	entry int
	// prefix is the Prompt-Prefix of the caller's streams, empty for one of the usual ones.
	prefix string
	// box is the name of the entry box that conn leads to.
	box string
	// patience is how long the caller waits for an answer, zero for answerLimit.
	patience time.Duration
}

const (
	answerLimit = 12 * time.Second
	dialLimit   = time.Second
)

// run sends requests at random intervals until stop is closed.
func (c *caller) run(stop <-chan struct{}) {
	routes := []string{"plain/safe", "plain/unsafe", "stream/resume", "stream/once"}
	for {
		select {
		case <-stop:
			c.disconnect()
			return
		case <-time.After(time.Duration(c.rng.Intn(60)) * time.Millisecond):
		}
		route := routes[c.rng.Intn(len(routes))]
		key := "key-large"
		if c.rng.Intn(4) == 0 {
			key = "key-small"
		}
		c.count++
		o := c.send(fmt.Sprintf("%d-%d-%d", c.all.seed, c.n, c.count), route, key)
		c.all.record(o)
	}
}

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

const outputLimit = 60

// send sends one request with the default body and reads its answer.
func (c *caller) send(id, route, key string) outcome {
	return c.sendBody(id, route, key, "body of "+id)
}

// sendBody sends one request with the given body and reads its answer.
func (c *caller) sendBody(id, route, key, body string) outcome {
	o := outcome{id: id, route: route}
	if c.conn == nil {
		n := c.rng.Intn(len(c.all.entries))
		if c.entry > 0 {
			n = c.entry - 1
		}
		conn, err := net.DialTimeout("tcp", c.all.entries[n], dialLimit)
		if err != nil {
			return o
		}
		c.conn, c.reader, c.box = conn, observe.NewReader(conn), c.all.names[n]
	}
	o.box, o.sentAt = c.box, time.Now()
	patience := time.Duration(answerLimit)
	if c.patience > 0 {
		patience = c.patience
	}
	_ = c.conn.SetDeadline(time.Now().Add(patience))
	tokens := ""
	if strings.HasPrefix(route, "stream") {
		prompt := 200 + c.rng.Intn(400)
		if c.all.seed >= faultyAnswersFrom && key == "key-large" && c.rng.Intn(4) == 0 {
			prompt += 2 * longPromptTokens
		}
		prefix := fmt.Sprintf("aa:10,bb%d:20,%x:%d", c.rng.Intn(5), c.rng.Int31(), max(5, prompt-1000))
		if c.prefix != "" {
			prefix = c.prefix
		}
		tokens = fmt.Sprintf("Token-Count: %d,%d\r\nPrompt-Prefix: %s\r\n", prompt, outputLimit, prefix)
	}
	_, err := fmt.Fprintf(c.conn, "POST /%s/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 8000\r\nApi-Key: %s\r\nTenant: forged\r\n%sContent-Length: %d\r\n\r\n%s", route, id, key, tokens, len(body), body)
	if err != nil {
		c.disconnect()
		return o
	}
	return c.readAnswer(o)
}

func (c *caller) readAnswer(o outcome) outcome {
	a, err := c.reader.Answer(http.MethodPost)
	o.endedAt = time.Now()
	o.status, o.body, o.complete, o.retryAfter, o.signed = a.Status, string(a.Body), err == nil, a.Get("Retry-After"), a.Get("Server-Signature") != ""
	if observe.IsErrMalformed(err) {
		c.all.platform.recordViolation("request %s (%s) over %s: %v", o.id, o.route, c.conn.RemoteAddr(), err)
	}
	if got := a.Get("Attempt-Id"); got != "" && got != o.id {
		c.all.platform.recordViolation("request %s received the answer to %s", o.id, got)
	}
	if observe.IsErrTruncated(err) && a.Status == http.StatusOK && !c.all.platform.wasTruncated(o.id) && !c.all.platform.disruptions.explainsTruncation(o.id, o.box, o.sentAt) {
		c.all.platform.recordViolation("request %s (%s) was truncated at %s after %s and %d bytes without a fault that explains it", o.id, o.route, o.box, time.Since(o.sentAt), len(a.Body))
	}
	if err != nil || a.Closes() {
		c.disconnect()
	}
	return o
}

// record records an outcome and makes the checks that do not depend on later events.
func (p *callerPool) record(o outcome) {
	p.mu.Lock()
	p.outcomes = append(p.outcomes, o)
	p.mu.Unlock()
	if strings.Contains(o.body, quarantinedKind) {
		p.platform.recordViolation("request %s (%s) was quarantined although it crashed no server", o.id, o.route)
	}
	if o.signed && o.status != http.StatusOK && !p.platform.hasFailed(o.id, o.status) {
		p.platform.recordViolation("request %s (%s) got status %d signed by a server, but no server sent it", o.id, o.route, o.status)
	}
	if o.status != http.StatusOK {
		return
	}
	want := "answer to " + o.id
	if strings.HasPrefix(o.route, "stream") {
		var b strings.Builder
		for n := range events(outputLimit) {
			b.WriteString(event(o.id, n))
		}
		want = b.String()
	}
	// If an answer has neither a length nor chunks, its truncation goes unnoticed.
	truncated := strings.HasPrefix(want, o.body) && (!o.complete || p.platform.wasTruncated(o.id))
	if o.body != want && !truncated {
		p.platform.recordViolation("request %s (%s) got an unexpected body %q", o.id, o.route, o.body)
	}
}

// check compares all outcomes with the requests that servers executed, and counts them.
func (p *callerPool) check() (served, refused, failed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	atMostOnce := map[string]bool{"plain/unsafe": true, "stream/once": true}
	for _, o := range p.outcomes {
		runs := p.platform.runCount(o.id)
		if atMostOnce[o.route] && runs > 1 {
			p.platform.recordViolation("request %s (%s) was executed %d times, want at most once", o.id, o.route, runs)
		}
		switch {
		case o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests || o.status == http.StatusRequestTimeout:
			refused++
			if runs > 0 {
				p.platform.recordViolation("request %s (%s) was refused with status %d after a server had executed it", o.id, o.route, o.status)
			}
			if o.retryAfter == "" {
				p.platform.recordViolation("request %s was refused with status %d without Retry-After", o.id, o.status)
			}
		case o.status == http.StatusOK && o.complete:
			served++
		case o.signed && o.status != http.StatusOK:
			failed++
		case o.status == http.StatusUnauthorized || o.status == http.StatusNotFound:
			p.platform.recordViolation("request %s got unexpected status %d", o.id, o.status)
		default:
			failed++
		}
	}
	return served, refused, failed
}
