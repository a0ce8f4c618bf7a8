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
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// lateShare is the share of a request's time from which on its end counts as one at its deadline.
const lateShare = 0.7

// whyLost returns why a box that ran all the time owed a whole answer to a request, or "" if it didn't or
// if there was one. isHanded is set if a server has received the request.
func (r keptRequest) whyLost(isHanded bool) string {
	after := r.endedAt.Sub(r.sentAt)
	switch {
	case r.complete || after.Seconds() >= lateShare*r.deadline.Seconds():
		return ""
	case isHanded:
		return "a server had received it"
	case r.closeTold || after <= lossSlack:
		return ""
	case r.reset:
		return "the box left it unread for too long"
	}
	return "the box had read it"
}

// wantBody returns the body of a server's answer to the request.
func (r keptRequest) wantBody() string {
	if !strings.HasPrefix(r.route, "stream") {
		return "answer to " + r.id
	}
	var b strings.Builder
	for n := range events(r.output) {
		b.WriteString(event(r.id, n))
	}
	return b.String()
}

// bodyFault returns what is wrong with the body of a success, or "" if it is right: whole, or the first
// part of the whole one if the answer has ended early and does not look complete.
func (r keptRequest) bodyFault(body string) string {
	want := r.wantBody()
	switch {
	case r.status != http.StatusOK || body == want || !r.complete && strings.HasPrefix(want, body):
		return ""
	case strings.HasPrefix(want, body):
		return fmt.Sprintf("the answer ends as complete after %d of %d bytes", len(body), len(want))
	}
	at := 0
	for at < min(len(body), len(want)) && body[at] == want[at] {
		at++
	}
	return fmt.Sprintf("the answer differs from the expected one from byte %d on: %.80q", at, body[at:])
}

// lost returns descriptions of the requests that got no whole answer although a box that ran all the time
// owed one.
func (tb *testbed) lost(t *testing.T, requests []keptRequest) []string {
	var list []string
	logs := requestLogs{}
	for _, r := range requests {
		why := r.whyLost(tb.platform.disruptions.hasWorker(r.id))
		if why == "" || tb.boxNamed(t, r.box).wasDown(r.sentAt, r.endedAt) {
			continue
		}
		line, _ := logs.line(tb, r)
		list = append(list, fmt.Sprintf("request %s (%s, %s) at %s: %s; status %d, the connection ended %s after its last byte, deadline %s; %s", r.id, r.route, r.form, r.box, why, r.status, r.endedAt.Sub(r.sentAt), r.deadline, line.text))
	}
	return list
}

func TestLostAnswersAreFound(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nAttempt-Id: kept-0-1-1\r\nServer-Signature: i-1\r\nTransfer-Encoding: chunked\r\n\r\n"
		refusal = "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\nbusy"
		closing = "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbusy"
	)
	// stream returns an answer with the given events, which ends as complete if end is set.
	stream := func(end bool, list ...int) string {
		var b strings.Builder
		b.WriteString(head)
		for _, n := range list {
			e := event("kept-0-1-1", n)
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(e), e)
		}
		if end {
			b.WriteString("0\r\n\r\n")
		}
		return b.String()
	}
	read := func(conn net.Conn) { _, _ = conn.Read(make([]byte, 4096)) }
	unread := func(conn net.Conn) {
		waitForSocket(conn, func(fd int) bool {
			n, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
			return err != nil || n > 0
		})
	}
	answer := func(text string) func(net.Conn) {
		return func(conn net.Conn) {
			read(conn)
			_, _ = io.WriteString(conn, text)
		}
	}
	// after returns a change of the time between the last byte of a request and the end.
	after := func(d time.Duration) func(*testbed, *keptRequest) {
		return func(_ *testbed, r *keptRequest) { r.sentAt = r.endedAt.Add(-d) }
	}
	down := func(from, to time.Duration) func(*testbed, *keptRequest) {
		return func(tb *testbed, r *keptRequest) {
			tb.boxes[0].downs = []span{{from: r.endedAt.Add(from), to: r.endedAt.Add(to)}}
		}
	}
	const late = 10500 * time.Millisecond
	cases := map[string]struct {
		serve  func(net.Conn)
		pair   bool
		handed []string
		// change happens before the check.
		change   func(*testbed, *keptRequest)
		deadline time.Duration
		signals  []syscall.Signal
		// want is a part of the violation, empty for none.
		want string
	}{
		"whole answer":                          {serve: answer(stream(true, 0, 1, 2))},
		"whole refusal":                         {serve: answer(refusal)},
		"whole refusal after long":              {serve: answer(refusal), change: after(time.Second)},
		"read, closed at once":                  {serve: read, change: after(lossSlack)},
		"read, closed late":                     {serve: read, change: after(lossSlack + 1), want: "the box had read it"},
		"read, handed on, closed at once":       {serve: read, handed: []string{"kept-0-1-1"}, change: after(0), want: "a server had received it"},
		"unread, reset at once":                 {serve: unread, change: after(lossSlack)},
		"unread, reset late":                    {serve: unread, change: after(lossSlack + 1), want: "left it unread"},
		"reset, handed on":                      {serve: unread, handed: []string{"kept-0-1-1"}, change: after(0), want: "a server had received it"},
		"stream cut":                            {serve: answer(stream(false, 0, 1)), handed: []string{"kept-0-1-1"}, want: "a server had received it"},
		"stream cut after its last event":       {serve: answer(stream(false, 0, 1, 2)), handed: []string{"kept-0-1-1"}, want: "a server had received it"},
		"stream cut before seven tenths":        {serve: answer(stream(false, 0, 1)), handed: []string{"kept-0-1-1"}, change: after(late - 1), want: "a server had received it"},
		"stream cut at seven tenths":            {serve: answer(stream(false, 0, 1)), handed: []string{"kept-0-1-1"}, change: after(late)},
		"stream cut at its short deadline":      {serve: answer(stream(false, 0, 1)), handed: []string{"kept-0-1-1"}, change: after(3 * time.Second), deadline: 3 * time.Second},
		"not handed on until its deadline":      {serve: read, change: after(pausedDeadline)},
		"refusal cut":                           {serve: answer(refusal[:len(refusal)-1]), change: after(lossSlack + 1), want: "the box had read it"},
		"killed":                                {serve: read, handed: []string{"kept-0-1-1"}, signals: []syscall.Signal{syscall.SIGKILL}},
		"paused":                                {serve: read, handed: []string{"kept-0-1-1"}, signals: []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT}},
		"reloaded":                              {serve: read, handed: []string{"kept-0-1-1"}, signals: []syscall.Signal{syscall.SIGHUP}, want: "a server had received it"},
		"paused before":                         {serve: read, handed: []string{"kept-0-1-1"}, change: down(-time.Hour, -time.Minute), want: "a server had received it"},
		"killed after":                          {serve: read, handed: []string{"kept-0-1-1"}, change: down(time.Minute, time.Hour), want: "a server had received it"},
		"last event missing, looks complete":    {serve: answer(stream(true, 0, 1)), want: "ends as complete after"},
		"no event, looks complete":              {serve: answer(stream(true)), want: "ends as complete after 0 of"},
		"event missing":                         {serve: answer(stream(true, 0, 2)), want: "differs from the expected one"},
		"event twice":                           {serve: answer(stream(true, 0, 1, 1, 2)), want: "differs from the expected one"},
		"last event twice":                      {serve: answer(stream(true, 0, 1, 2, 2)), want: "differs from the expected one"},
		"events out of order":                   {serve: answer(stream(true, 1, 0, 2)), want: "differs from the expected one"},
		"event missing, cut at its deadline":    {serve: answer(stream(false, 0, 2)), change: after(pausedDeadline), want: "differs from the expected one"},
		"second behind a cut stream":            {serve: answer(stream(false, 0)), pair: true, change: after(lossSlack + 1), want: "kept-0-1-2 (stream/resume, two at once) at entry-1: the box had read it"},
		"second behind an announced close":      {serve: answer(closing), pair: true, change: after(lossSlack + 1)},
		"second, handed on, announced close":    {serve: answer(closing), pair: true, handed: []string{"kept-0-1-2"}, want: "kept-0-1-2 (stream/resume, two at once) at entry-1: a server had received it"},
		"second behind a refusal, no answer":    {serve: answer(refusal), pair: true, change: after(lossSlack + 1), want: "kept-0-1-2 (stream/resume, two at once) at entry-1: the box had read it"},
		"second behind a refusal, closed early": {serve: answer(refusal), pair: true, change: after(lossSlack)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tb := playBox(t, c.serve, c.signals)
			if c.deadline == 0 {
				c.deadline = pausedDeadline
			}
			k := &keptCallers{tb: tb, routes: []string{"stream/resume"}, outputs: []uint64{3 * stride}, deadlines: []time.Duration{c.deadline}}
			caller := &keptCaller{all: k, n: 1, rng: rand.New(rand.NewSource(0))}
			form := formSmall
			if c.pair {
				form = formPair
			}
			caller.askIn(form)
			for _, id := range c.handed {
				tb.platform.disruptions.recordWorker(id, "i-1")
			}
			requests := append(k.requests, k.behind...)
			for i := range requests {
				if c.change != nil {
					c.change(tb, &requests[i])
				}
			}
			got := strings.Join(append(tb.lost(t, requests), tb.platform.violations...), "\n")
			if c.want == "" && got != "" || !strings.Contains(got, c.want) {
				t.Errorf("violations %q, want %q", got, c.want)
			}
			if want := map[bool]int{false: 1, true: 2}[c.pair]; len(requests) != want {
				t.Errorf("%d requests recorded, want %d", len(requests), want)
			}
		})
	}
}
