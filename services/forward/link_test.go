// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"havenwinch.dev/havenwinch/services/overload"
)

// freeLink counts the waits for a link that is always free.
type freeLink struct{ waits int }

func (l *freeLink) AwaitWrite(context.Context) { l.waits++ }
func (l *freeLink) RetryAfter() time.Duration  { return time.Second }

// Guards against short bodies that wait for a full link, and long ones that are sent without a wait or
// arrive changed.
func TestOnlyLongBodiesWaitForTheLink(t *testing.T) {
	cases := map[string]struct{ length, waits int }{
		"short":                          {length: overload.LongBody},
		"long":                           {length: overload.LongBody + 1, waits: 2},
		"the longest written at once":    {length: maxInlineBody, waits: maxInlineBody/overload.BodyPart - 1},
		"written while the answer comes": {length: maxInlineBody + 1, waits: maxInlineBody/overload.BodyPart + 1},
		"longer than a window":           {length: 3 * windowBody, waits: 3 * windowBody / overload.BodyPart},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tg := newTarget(t, "t1", respond(http.StatusOK, "answer"))
			f := newForwarder(t, &fakeLeases{}, tg)
			link := &freeLink{}
			f.opts.Link = link
			call := newCall("unsafe")
			call.Body = bytes.Repeat([]byte("0123456789abcdef"), c.length/16+1)[:c.length]
			if err := f.Serve(context.Background(), call, &collector{}); err != nil {
				t.Fatal(err)
			}
			got := tg.requests()
			if len(got) != 1 || !bytes.Equal([]byte(got[0].body), call.Body) {
				t.Fatalf("%d requests, or another body than was sent", len(got))
			}
			if link.waits != c.waits {
				t.Fatalf("%d waits for the link, want %d", link.waits, c.waits)
			}
		})
	}
}

// fullLink never has room.
type fullLink struct{}

func (fullLink) AwaitWrite(ctx context.Context) { <-ctx.Done() }
func (fullLink) RetryAfter() time.Duration      { return time.Second }

// sendOutcomes records how attempts ended.
type sendOutcomes struct {
	noCounter
	mu   sync.Mutex
	list []string
}

func (o *sendOutcomes) Forwarded(_, outcome string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append(o.list, outcome)
}

// Guards against targets that count as failing since a call ended while its body waited for the link of
// the box.
func TestCallEndsWhileItsBodyIsPaced(t *testing.T) {
	for name, length := range map[string]int{"written at once": 2 * overload.LongBody, "written while the answer comes": 2 * maxInlineBody} {
		t.Run(name, func(t *testing.T) {
			tg := newTarget(t, "t1", respond(http.StatusOK, "answer"))
			f := newForwarder(t, &fakeLeases{}, tg)
			o := &sendOutcomes{}
			f.opts.Link, f.opts.Counter = fullLink{}, o
			call := newCall("unsafe")
			call.Body = bytes.Repeat([]byte("x"), length)
			ctx, cancel := context.WithTimeout(context.Background(), overload.MaxPace/10)
			defer cancel()
			_ = f.Serve(ctx, call, &collector{})
			if got := strings.Join(o.list, ", "); got != "out of time" {
				t.Fatalf("the attempt ended as %q", got)
			}
		})
	}
}

// pacedLink lets a part pass after a wait.
type pacedLink struct{ wait time.Duration }

func (l pacedLink) AwaitWrite(context.Context) { time.Sleep(l.wait) }
func (l pacedLink) RetryAfter() time.Duration  { return time.Second }

// Guards against a target that is taken for silent, and a body that is sent again to another one, while the
// box itself holds the body back.
func TestPacedBodyIsSentOnce(t *testing.T) {
	for name, length := range map[string]int{"written at once": maxInlineBody, "written while the answer comes": 3 * maxInlineBody} {
		t.Run(name, func(t *testing.T) {
			t1, t2 := newTarget(t, "t1", respond(http.StatusOK, "answer")), newTarget(t, "t2", respond(http.StatusOK, "answer"))
			f := newForwarder(t, &fakeLeases{}, t1, t2)
			// The wait for the head of an answer is 100 ms, and the body takes longer.
			f.opts.Store.Index().Route("h", "/safe/x").Objective = 40
			o := &sendOutcomes{}
			f.opts.Counter, f.opts.Link = o, pacedLink{wait: 30 * time.Millisecond}
			call := newCall("safe")
			call.Body = bytes.Repeat([]byte("x"), length)
			if err := f.Serve(context.Background(), call, &collector{}); err != nil {
				t.Fatalf("%v after %v", err, o.list)
			}
			if len(o.list) != 1 {
				t.Fatalf("attempts: %v", o.list)
			}
		})
	}
}
