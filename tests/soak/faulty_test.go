// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Servers with faulty answers repeat an answer wholly or in part, at once or later; truncate
// or corrupt it at any place; send it without framing; or return an error. A strict reader
// checks what callers receive.

// repeatingConn is the server's end of a connection. It can repeat an answer.
type repeatingConn struct {
	net.Conn
	mu sync.Mutex
	// written has the bytes written since the last request arrived.
	written []byte
	// repeated, if not nil, returns the bytes to repeat when the server reads the next time,
	// after delay.
	repeated func(whole []byte) []byte
	delay    time.Duration
}

// repeatingListener wraps each accepted connection in a repeatingConn.
type repeatingListener struct{ net.Listener }

func (l repeatingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatingConn{Conn: c}, nil
}

// Read implements net.Conn. The server reads again when its answer is complete.
func (c *repeatingConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.writeRepeated()
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 1 {
		c.written = nil
	}
	return n, err
}

// writeRepeated sends the last answer again if that was requested. The caller holds c.mu.
func (c *repeatingConn) writeRepeated() {
	if c.repeated == nil || len(c.written) == 0 {
		return
	}
	bytes := c.repeated(c.written)
	c.repeated, c.written = nil, nil
	if c.delay == 0 {
		_, _ = c.Conn.Write(bytes)
		return
	}
	time.AfterFunc(c.delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		// Within another answer the bytes would become part of that answer.
		if len(c.written) == 0 {
			_, _ = c.Conn.Write(bytes)
		}
	})
}

// Write implements net.Conn.
func (c *repeatingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = append(c.written, p...)
	return c.Conn.Write(p)
}

// repeatAnswer requests that the current answer is repeated, wholly or in part.
func (c *repeatingConn) repeatAnswer(rng *rand.Rand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	part := 1.0
	if rng.Intn(3) == 0 {
		part = rng.Float64()
	}
	c.repeated = func(whole []byte) []byte { return append([]byte(nil), whole[:int(part*float64(len(whole)))]...) }
	c.delay = 0
	if rng.Intn(3) > 0 {
		c.delay = time.Duration(5+rng.Intn(795)) * time.Millisecond
	}
}

type connKey struct{}

// withConn stores a connection in the context of its requests, for connOf.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(r *http.Request) *repeatingConn {
	c, _ := r.Context().Value(connKey{}).(*repeatingConn)
	return c
}

// Kinds of faulty answers.
const (
	formRepeated = iota
	formTruncatedHead
	formCorruptHead
	formTruncatedSize
	formCorruptSize
	formTruncatedEvent
	formTruncatedBetween
	formNoID
	formGap
	formUnframed
	formFailure
	formCount
)

// failureStatuses are the statuses of error answers.
var failureStatuses = []int{302, 400, 404, 409, 413, 500, 502, 504}

// setFaultyShare sets the share of requests that the server answers faultily.
func (sv *server) setFaultyShare(share float64) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.faultyShare = share
}

// answerForm selects at random how to answer a request; -1 means correctly. Half of the faulty
// answers to resumed streams are errors, since few requests resume a stream.
func (sv *server) answerForm(r *http.Request) int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.faultyShare == 0 || sv.rng.Float64() >= sv.faultyShare {
		return -1
	}
	if r.Header.Get("Last-Event-Id") != "" && sv.rng.Intn(2) == 0 {
		return formFailure
	}
	return sv.rng.Intn(formCount)
}

// sendFaulty sends a faulty answer of the given form. It returns false if the caller still has to
// send the regular answer.
func (sv *server) sendFaulty(w http.ResponseWriter, r *http.Request, id string, form int) bool {
	switch form {
	case -1:
		return false
	case formRepeated:
		sv.mu.Lock()
		connOf(r).repeatAnswer(sv.rng)
		sv.mu.Unlock()
		return false
	case formFailure:
		sv.sendFailure(w, id)
		return true
	}
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return true
	}
	defer c.Close()
	stream := strings.HasPrefix(r.URL.Path, "/stream/")
	if form != formTruncatedHead && form != formCorruptHead {
		sv.platform.recordTruncation(id)
	}
	_, _ = io.WriteString(c, sv.faultyAnswer(id, form, stream, firstEvent(r)))
	return true
}

// sendFailure sends an error answer with a random status.
func (sv *server) sendFailure(w http.ResponseWriter, id string) {
	sv.mu.Lock()
	status := failureStatuses[sv.rng.Intn(len(failureStatuses))]
	sv.mu.Unlock()
	sv.platform.recordFailure(id, status)
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "failure %d of %s", status, id)
}

// faultyAnswer returns a faulty answer, after which the connection is closed.
func (sv *server) faultyAnswer(id string, form int, stream bool, first int) string {
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Signature: " + sv.id + "\r\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	one, two := sv.event(id, first), sv.event(id, first+1)
	if !stream {
		one, two = "answer ", "to "+id
	}
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(one)
	switch form {
	case formTruncatedHead:
		return head[:len(head)/2]
	case formCorruptHead:
		return "HTTP/1.1 OK 200\r\n\r\n"
	case formTruncatedSize:
		return chunked + "1"
	case formCorruptSize:
		return chunked + "zz\r\n" + two + "\r\n0\r\n\r\n"
	case formTruncatedEvent:
		return chunked + chunk(two)[:8]
	case formNoID, formGap:
		lost := map[int]string{formNoID: "data: lost\n\n", formGap: sv.event(id, first+5)}[form]
		if !stream {
			return chunked
		}
		return chunked + chunk(lost) + chunk(two) + "0\r\n\r\n"
	case formUnframed:
		return head + "\r\n" + one + two[:len(two)/2]
	default:
		return chunked
	}
}

// firstEvent returns the number of the first event to send, after the one in Last-Event-Id.
func firstEvent(r *http.Request) int {
	last := -1
	if text := r.Header.Get("Last-Event-Id"); text != "" {
		_, _ = fmt.Sscan(text, &last)
	}
	return last + 1
}

// recordFailure records that a server answered a request with an error status.
func (p *platform) recordFailure(id string, status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures[id] == nil {
		p.failures[id] = map[int]bool{}
	}
	p.failures[id][status] = true
}

// hasFailed reports whether a server answered a request with the error status.
func (p *platform) hasFailed(id string, status int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures[id][status]
}

// recordTruncation records that a server truncated its answer to a request, or sent an answer that
// ends with the connection.
func (p *platform) recordTruncation(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.truncated[id] = true
}

func (p *platform) wasTruncated(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.truncated[id]
}

// Guards against bytes in the middle of a stream that are not part of the answer, which
// callers with long prompts received. Runs are stopped to move them while servers repeat,
// corrupt and truncate answers and return errors, and a strict reader checks the streams.
// Nothing is killed or disconnected, so only servers truncate answers.
func TestCallersOfServersWithFaultyAnswers(t *testing.T) {
	// From this seed on requests include long prompts.
	tb := newTestbed(t, faultyAnswersFrom, 1, 2, 4, 2)
	for _, sv := range tb.platform.all() {
		sv.setFaultyShare(0.2)
	}
	stop := make(chan struct{})
	wg := tb.startCallers(stop)
	waitFor(t, fmt.Sprintf("%d runs were stopped to move them", minMoves), func() bool {
		tb.platform.mu.Lock()
		defer tb.platform.mu.Unlock()
		return tb.platform.moved >= minMoves
	})
	close(stop)
	wg.Wait()
	tb.checkResults(t)
}

// minMoves is how many runs must move during the test, so that the request to resume
// some of them gets an error.
const minMoves = 60
