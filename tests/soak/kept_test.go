// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"bytes"
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

// requestForm is a way to write a request to a connection.
type requestForm int

const (
	formSmall requestForm = iota
	formLong
	formHalves
	formChunked
	formExpect
	// formPair sends two requests at once. The second one waits for the answer to the first.
	formPair
	requestForms
)

func (f requestForm) String() string {
	return [...]string{"small", "long", "in halves", "chunked", "after 100 Continue", "two at once"}[f]
}

const (
	// longBody is the size of a long body in bytes.
	longBody = 30 << 10
	// paddingHeader is the request header with the number of padding bytes after the usual body.
	paddingHeader = "Padding"
	// lossSlack is how long after its last byte a request that has not been passed on may be dropped
	// with its connection.
	lossSlack = 200 * time.Millisecond
	// keptDeadline is how long the callers wait unless they are told otherwise.
	keptDeadline = 8 * time.Second
)

// keptRequest is a request on a kept connection, and what its caller got.
type keptRequest struct {
	id    string
	route string
	form  requestForm
	box   string
	local string
	// sentAt is when the last byte was sent, endedAt when the caller had the answer or the end of the
	// connection.
	sentAt, endedAt time.Time
	// deadline is how long the caller waits, output the tokens that a stream may generate.
	deadline time.Duration
	output   uint64
	status   int
	complete bool
	// isBehind is set if the request was sent behind one with whose answer the connection ended, closeTold
	// if that answer was complete and told so.
	isBehind, closeTold bool
	// reset is set if the connection was reset, as it is when the box leaves bytes unread.
	reset bool
}

// keptCallers send requests over connections that they keep as long as the boxes do.
type keptCallers struct {
	tb *testbed
	// routes are those of the requests, outputs the tokens that a stream may generate.
	routes  []string
	outputs []uint64
	// deadlines are how long a caller may wait, empty for keptDeadline.
	deadlines []time.Duration

	mu       sync.Mutex
	requests []keptRequest
	// behind has the requests sent behind one with whose answer the connection ended.
	behind []keptRequest
}

// run starts callers that send requests until stop is closed, and waits for them.
func (k *keptCallers) run(callers int, stop <-chan struct{}) {
	var wg sync.WaitGroup
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &keptCaller{all: k, n: n, rng: rand.New(rand.NewSource(k.tb.all.seed + int64(n)))}
			c.run(stop)
		}()
	}
	wg.Wait()
}

// keptCaller is one of the callers.
type keptCaller struct {
	all    *keptCallers
	n      int
	count  int
	rng    *rand.Rand
	conn   net.Conn
	reader *observe.Reader
	box    string
}

func (c *keptCaller) run(stop <-chan struct{}) {
	defer c.disconnect()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.rng.Intn(40)) * time.Millisecond):
		}
		c.ask()
	}
}

func (c *keptCaller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect dials an entry box unless the caller has a connection.
func (c *keptCaller) connect() bool {
	if c.conn != nil {
		return true
	}
	pool := c.all.tb.all
	n := c.rng.Intn(len(pool.entries))
	conn, err := net.DialTimeout("tcp", pool.entries[n], dialLimit)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.box = conn, observe.NewReader(conn), pool.names[n]
	return true
}

// ask sends one request in any form, or two at once, and reads the answers.
func (c *keptCaller) ask() {
	if c.connect() {
		c.askIn(requestForm(c.rng.Intn(int(requestForms))))
	}
}

func (c *keptCaller) askIn(form requestForm) {
	if !c.connect() {
		return
	}
	deadline := c.deadline()
	_ = c.conn.SetDeadline(time.Now().Add(deadline + answerLimit - keptDeadline))
	sent := []keptRequest{c.newRequest(form, deadline)}
	if form == formPair {
		sent = append(sent, c.newRequest(form, deadline))
	}
	if err := c.write(sent); err != nil {
		// The connection ended before the request was whole.
		c.disconnect()
		return
	}
	for i := range sent {
		sent[i].sentAt = time.Now()
	}
	for i := range sent {
		c.read(&sent[i])
		c.all.record(sent[i])
		if c.conn == nil {
			// Nothing may follow an answer that has announced the close or broken off.
			c.all.recordBehind(sent[i], sent[i+1:])
			return
		}
	}
}

// deadline returns how long the caller waits for the next answer.
func (c *keptCaller) deadline() time.Duration {
	switch list := c.all.deadlines; len(list) {
	case 0:
		return keptDeadline
	case 1:
		return list[0]
	default:
		return list[c.rng.Intn(len(list))]
	}
}

func (c *keptCaller) newRequest(form requestForm, deadline time.Duration) keptRequest {
	c.count++
	return keptRequest{deadline: deadline, id: fmt.Sprintf("kept-%d-%d-%d", c.all.tb.all.seed, c.n, c.count), route: c.all.routes[c.rng.Intn(len(c.all.routes))], form: form, box: c.box, local: c.conn.LocalAddr().String()}
}

// write sends requests of one form.
func (c *keptCaller) write(list []keptRequest) error {
	var all bytes.Buffer
	for i := range list {
		r := &list[i]
		head, body := c.text(r)
		switch r.form {
		case formHalves:
			if _, err := io.WriteString(c.conn, head+body[:len(body)/2]); err != nil {
				return err
			}
			time.Sleep(time.Duration(c.rng.Intn(20)) * time.Millisecond)
			_, err := io.WriteString(c.conn, body[len(body)/2:])
			return err
		case formExpect:
			if _, err := io.WriteString(c.conn, head); err != nil {
				return err
			}
			if err := c.reader.Continue(); err != nil {
				return err
			}
			_, err := io.WriteString(c.conn, body)
			return err
		default:
			all.WriteString(head + body)
		}
	}
	_, err := c.conn.Write(all.Bytes())
	return err
}

// text returns the head and the body of a request as they are sent, and sets the size of its output.
func (c *keptCaller) text(r *keptRequest) (head, body string) {
	body, extra := "body of "+r.id, ""
	if strings.HasPrefix(r.route, "stream") {
		r.output = c.all.outputs[c.rng.Intn(len(c.all.outputs))]
		extra = fmt.Sprintf("Token-Count: 200,%d\r\nPrompt-Prefix: aa:10,bb%d:20,%x:170\r\n", r.output, c.rng.Intn(5), c.rng.Int31())
	}
	if r.form == formLong {
		body += strings.Repeat(".", longBody)
		extra += fmt.Sprintf("%s: %d\r\n", paddingHeader, longBody)
	}
	framing := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if r.form == formChunked {
		framing = "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", 4, body[:4], len(body)-4, body[4:])
	}
	if r.form == formExpect {
		extra += "Expect: 100-continue\r\n"
	}
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: key-large\r\n%s%s\r\n", r.route, r.id, r.deadline.Milliseconds(), extra, framing), body
}

// read reads the answer to a request.
func (c *keptCaller) read(r *keptRequest) {
	a, err := c.reader.Answer(http.MethodPost)
	r.endedAt, r.status, r.complete = time.Now(), a.Status, err == nil
	r.reset = err != nil && strings.Contains(err.Error(), "connection reset")
	p := c.all.tb.platform
	if observe.IsErrMalformed(err) {
		p.recordViolation("request %s (%s) at %s: %v", r.id, r.route, r.box, err)
	}
	if got := a.Get("Attempt-Id"); got != "" && got != r.id {
		p.recordViolation("request %s received the answer to %s", r.id, got)
	}
	if fault := r.bodyFault(string(a.Body)); fault != "" {
		p.recordViolation("request %s (%s, %s) at %s: %s", r.id, r.route, r.form, r.box, fault)
	}
	if err != nil || a.Closes() {
		c.disconnect()
	}
}

// recordBehind records the requests that were sent behind one with whose answer the connection ended.
func (k *keptCallers) recordBehind(last keptRequest, list []keptRequest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range list {
		r.endedAt, r.isBehind, r.closeTold, r.reset = last.endedAt, true, last.complete, last.reset
		k.behind = append(k.behind, r)
	}
}

func (k *keptCallers) record(r keptRequest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.requests = append(k.requests, r)
}
