// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"bytes"
	"context"
	"net/http"
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
