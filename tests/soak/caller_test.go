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

// outcome is how a request ended for its caller.
type outcome struct {
	id     string
	route  string
	status int
	body   string
	// whole is false when the answer broke off or none came.
	whole bool
	retry string
	// signed says that a server made it.
	signed bool
	// box is the entry box that was asked, from is when.
	box  string
	from time.Time
}

// callers sends requests over connections that stay open as long as the box
// lets them.
type callers struct {
	site *site
	// entries are the addresses of entry boxes, names their names.
	entries []string
	names   []string
	seed    int64

	mu       sync.Mutex
	outcomes []outcome
}

// caller is one user with one connection.
type caller struct {
	all   *callers
	n     int
	rng   *rand.Rand
	conn  net.Conn
	got   *observe.Reader
	count int
	// box is the entry box of the connection.
	box string
}

const (
	answerLimit = 12 * time.Second
	dialLimit   = time.Second
)

// run sends requests until the channel is closed.
func (c *caller) run(stop <-chan struct{}) {
	routes := []string{"plain/safe", "plain/unsafe", "stream/resume", "stream/once"}
	for {
		select {
		case <-stop:
			c.drop()
			return
		case <-time.After(time.Duration(c.rng.Intn(60)) * time.Millisecond):
		}
		route := routes[c.rng.Intn(len(routes))]
		key := "key-large"
		if c.rng.Intn(4) == 0 {
			key = "key-small"
		}
		c.count++
		o := c.ask(fmt.Sprintf("%d-%d-%d", c.all.seed, c.n, c.count), route, key)
		c.all.take(o)
	}
}

func (c *caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

const outputLimit = 60

// ask sends one request and reads its answer.
func (c *caller) ask(id, route, key string) outcome {
	return c.askBody(id, route, key, "body of "+id)
}

// askBody sends one request with a body of its own.
func (c *caller) askBody(id, route, key, body string) outcome {
	o := outcome{id: id, route: route}
	if c.conn == nil {
		n := c.rng.Intn(len(c.all.entries))
		conn, err := net.DialTimeout("tcp", c.all.entries[n], dialLimit)
		if err != nil {
			return o
		}
		c.conn, c.got, c.box = conn, observe.NewReader(conn), c.all.names[n]
	}
	o.box, o.from = c.box, time.Now()
	_ = c.conn.SetDeadline(time.Now().Add(answerLimit))
	tokens := ""
	if strings.HasPrefix(route, "stream") {
		prompt := 200 + c.rng.Intn(400)
		if c.all.seed >= oddKindsFrom && key == "key-large" && c.rng.Intn(4) == 0 {
			prompt += 2 * longPrompt
		}
		tokens = fmt.Sprintf("Token-Count: %d,%d\r\nPrompt-Prefix: aa:10,bb%d:20,%x:%d\r\n", prompt, outputLimit, c.rng.Intn(5), c.rng.Int31(), max(5, prompt-1000))
	}
	_, err := fmt.Fprintf(c.conn, "POST /%s/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 8000\r\nApi-Key: %s\r\nTenant: forged\r\n%sContent-Length: %d\r\n\r\n%s", route, id, key, tokens, len(body), body)
	if err != nil {
		c.drop()
		return o
	}
	return c.answer(o)
}

func (c *caller) answer(o outcome) outcome {
	a, err := c.got.Answer(http.MethodPost)
	o.status, o.body, o.whole, o.retry, o.signed = a.Status, string(a.Body), err == nil, a.Get("Retry-After"), a.Get("Server-Signature") != ""
	if observe.IsErrUnreadable(err) {
		c.all.site.breaks("request %s (%s) over %s: %v", o.id, o.route, c.conn.RemoteAddr(), err)
	}
	if got := a.Get("Attempt-Id"); got != "" && got != o.id {
		c.all.site.breaks("request %s got the answer to %s", o.id, got)
	}
	if observe.IsErrCut(err) && a.Status == http.StatusOK && !c.all.site.brokeOff(o.id) && !c.all.site.reasons.mayBreak(o.id, o.box, o.from) {
		c.all.site.breaks("request %s (%s) broke off at %s after %s and %d bytes, and nothing had a trouble that it met", o.id, o.route, o.box, time.Since(o.from), len(a.Body))
	}
	if err != nil || a.Closes() {
		c.drop()
	}
	return o
}

// take checks an outcome as far as it can be checked at once.
func (cs *callers) take(o outcome) {
	cs.mu.Lock()
	cs.outcomes = append(cs.outcomes, o)
	cs.mu.Unlock()
	if strings.Contains(o.body, heldBack) {
		cs.site.breaks("request %s (%s) was held back, and no server ended under it alone", o.id, o.route)
	}
	if o.signed && o.status != http.StatusOK && !cs.site.hasSaid(o.id, o.status) {
		cs.site.breaks("request %s (%s) got %d as a server's, and none has said so", o.id, o.route, o.status)
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
	// A server that says nothing of where its answer ends may have broken it off unseen.
	part := strings.HasPrefix(want, o.body) && (!o.whole || cs.site.brokeOff(o.id))
	if o.body != want && !part {
		cs.site.breaks("request %s (%s) was answered %q", o.id, o.route, o.body)
	}
}

// check compares all outcomes with what servers saw.
func (cs *callers) check() (served, refused, failed int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	once := map[string]bool{"plain/unsafe": true, "stream/once": true}
	for _, o := range cs.outcomes {
		runs := cs.site.ran(o.id)
		if once[o.route] && runs > 1 {
			cs.site.breaks("request %s (%s) ran %d times", o.id, o.route, runs)
		}
		switch {
		case o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests || o.status == http.StatusRequestTimeout:
			refused++
			if runs > 0 {
				cs.site.breaks("request %s (%s) got %d and ran", o.id, o.route, o.status)
			}
			if o.retry == "" {
				cs.site.breaks("request %s was refused with %d and no time to come back", o.id, o.status)
			}
		case o.status == http.StatusOK && o.whole:
			served++
		case o.signed && o.status != http.StatusOK:
			failed++
		case o.status == http.StatusUnauthorized || o.status == http.StatusNotFound:
			cs.site.breaks("request %s got %d", o.id, o.status)
		default:
			failed++
		}
	}
	return served, refused, failed
}
