// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"io"
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
	id    string
	route string
	// sent is the body of the request.
	sent   string
	status int
	body   string
	// complete is false if the answer was truncated or missing.
	complete   bool
	retryAfter string
	// signed is true if a server, not a box, produced the answer.
	signed bool
	// box is the entry box that received the request.
	box string
	// sentAt is before the first and wholeAt after the last byte was sent.
	sentAt, wholeAt time.Time
	// bytes is the size of the request.
	bytes int
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
	// prompt is the length of the caller's prompts in tokens, zero for one of the usual lengths.
	prompt int
	// padding is how many bytes follow the usual body of a request.
	padding int
	// deadline is the time that the caller gives the box, zero for keptDeadline.
	deadline time.Duration
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
		list := []string{route}
		if c.all.seed >= pairsFrom && strings.HasPrefix(route, "stream") && c.rng.Intn(3) == 0 {
			list = append(list, routes[c.rng.Intn(len(routes))])
		}
		c.sendAtOnce(key, list...)
	}
}

// sendAtOnce sends requests right behind one another and records what the caller got. Those behind an
// answer that ends the connection are not answered.
func (c *caller) sendAtOnce(key string, routes ...string) {
	var list []*outcome
	for _, route := range routes {
		c.count++
		id := fmt.Sprintf("%d-%d-%d", c.all.seed, c.n, c.count)
		list = append(list, &outcome{id: id, route: route, sent: "body of " + id})
	}
	if !c.connect() || !c.write(list, key) {
		c.all.record(*list[0])
		return
	}
	for _, o := range list {
		if c.conn == nil {
			return
		}
		c.all.record(c.readAnswer(*o))
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
	return c.sendBody(id, route, key, "body of "+id+strings.Repeat(".", c.padding))
}

// connect dials an entry box unless the caller has a connection.
func (c *caller) connect() bool {
	if c.conn != nil {
		return true
	}
	n := c.rng.Intn(len(c.all.entries))
	if c.entry > 0 {
		n = c.entry - 1
	}
	conn, err := net.DialTimeout("tcp", c.all.entries[n], dialLimit)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.box = conn, observe.NewReader(conn), c.all.names[n]
	return true
}

// sendBody sends one request with the given body and reads its answer.
func (c *caller) sendBody(id, route, key, body string) outcome {
	o := outcome{id: id, route: route, sent: body}
	if !c.connect() || !c.write([]*outcome{&o}, key) {
		return o
	}
	return c.readAnswer(o)
}

// write writes requests to the connection at once and reports whether they were sent whole.
func (c *caller) write(list []*outcome, key string) bool {
	patience := time.Duration(answerLimit)
	if c.patience > 0 {
		patience = c.patience
	}
	now := time.Now()
	_ = c.conn.SetDeadline(now.Add(patience))
	var all strings.Builder
	for _, o := range list {
		o.box, o.sentAt = c.box, now
		text := c.request(o, key)
		o.bytes = len(text)
		all.WriteString(text)
	}
	if _, err := io.WriteString(c.conn, all.String()); err != nil {
		c.disconnect()
		return false
	}
	for _, o := range list {
		o.wholeAt = time.Now()
	}
	return true
}

// request returns a request as it is sent.
func (c *caller) request(o *outcome, key string) string {
	tokens, body := "", o.sent
	if strings.HasPrefix(o.route, "stream") {
		prompt := 200 + c.rng.Intn(400)
		if c.prompt > 0 {
			prompt = c.prompt
		}
		if c.all.seed >= faultyAnswersFrom && key == "key-large" && c.rng.Intn(4) == 0 {
			prompt += 2 * longPromptTokens
		}
		prefix := fmt.Sprintf("aa:10,bb%d:20,%x:%d", c.rng.Intn(5), c.rng.Int31(), max(5, prompt-1000))
		if c.prefix != "" {
			prefix = c.prefix
		}
		tokens = fmt.Sprintf("Token-Count: %d,%d\r\nPrompt-Prefix: %s\r\n", prompt, outputLimit, prefix)
	}
	if c.padding > 0 {
		tokens += fmt.Sprintf("%s: %d\r\n", paddingHeader, c.padding)
	}
	deadline := time.Duration(keptDeadline)
	if c.deadline > 0 {
		deadline = c.deadline
	}
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\nTenant: forged\r\n%sContent-Length: %d\r\n\r\n%s", o.route, o.id, deadline.Milliseconds(), key, tokens, len(body), body)
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
	if observe.IsErrTruncated(err) && a.Status != 0 && !c.all.platform.wasTruncated(o.id) && !c.all.platform.disruptions.explainsTruncation(o.id, o.box, o.sentAt) {
		c.all.platform.recordViolation("request %s (%s) was truncated at %s after %s and %d bytes without a fault that explains it", o.id, o.route, o.box, time.Since(o.sentAt), len(a.Body))
	}
	c.all.platform.recordEnd(c.conn, cutRequest{id: o.id, route: o.route, box: o.box, bytes: o.bytes, sentAt: o.sentAt, wholeAt: o.wholeAt, endedAt: o.endedAt, begun: a.Status != 0}, err)
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
		p.platform.checkComments(o)
		o.body = withoutComments(o.body)
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
