// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Invalid events reached callers: an event whose id could not be parsed was relayed, also after
// a fault in the same read, and a corrupt id of the last event was taken for a repeat, so that
// the stream was ended as complete without it. Only ids that could be parsed and were too high
// counted as faults.
func TestStreamValidation(t *testing.T) {
	cases := map[string]struct {
		// last is the last event that the caller has, -1 for none.
		last    int64
		text    string
		out     string
		fault   bool
		pending string
	}{
		"events":                     {last: -1, text: event(0) + event(1), out: event(0) + event(1)},
		"events from a later id":     {last: -1, text: event(7) + event(8), out: event(7) + event(8)},
		"continuation":               {last: 3, text: event(4), out: event(4)},
		"a repeat at the start":      {last: 3, text: event(2) + event(3) + event(4), out: event(4)},
		"a repeat later":             {last: 3, text: event(4) + event(4) + event(5), out: event(4), fault: true},
		"an older event later":       {last: -1, text: event(0) + event(1) + event(0), out: event(0) + event(1), fault: true},
		"a gap":                      {last: -1, text: event(0) + event(2) + event(3), out: event(0), fault: true},
		"a gap at the start":         {last: 3, text: event(5), fault: true},
		"no id":                      {last: -1, text: event(0) + "data: x\n\n" + event(1), out: event(0), fault: true},
		"no id after a gap":          {last: -1, text: event(0) + event(2) + "data: x\n\n", out: event(0), fault: true},
		"binary data":                {last: -1, text: event(0) + "\x16\x03\x01\n\n", out: event(0), fault: true},
		"an HTTP header":             {last: -1, text: event(0) + "HTTP/1.1 200 OK\nX: y\n\n", out: event(0), fault: true},
		"an id that is not a number": {last: -1, text: event(0) + "id: x\ndata: e\n\n", out: event(0), fault: true},
		"a negative id":              {last: -1, text: "id: -1\ndata: e\n\n", fault: true},
		"an id with a sign":          {last: 0, text: "id: +1\ndata: e\n\n", fault: true},
		"an id that overflows":       {last: -1, text: "id: 99999999999999999999\n\n", fault: true},
		"two ids":                    {last: -1, text: "id: 0\ndata: a\nid: 1\ndata: b\n\n", fault: true},
		"a line that is not a field": {last: -1, text: "id: 0\ndata: a\nnonsense\n\n", fault: true},
		"a carriage return":          {last: -1, text: "id: 0\ndata: a\r\rid: 1\n\n", fault: true},
		"a NUL":                      {last: -1, text: "id: 0\ndata: a\x00\n\n", fault: true},
		"a comment":                  {last: -1, text: ": still here\n\n" + event(0) + ":\n\n", out: ": still here\n\n" + event(0) + ":\n\n"},
		"a comment after a fault":    {last: -1, text: event(0) + event(2) + ": still here\n\n", out: event(0), fault: true},
		"a vendor field":             {last: -1, text: "weight-versions: 3\nid: 0\ndata: a\n\n", out: "weight-versions: 3\nid: 0\ndata: a\n\n"},
		"other fields":               {last: -1, text: "id:0\nevent: made\nretry: 5\ndata\n\n", out: "id:0\nevent: made\nretry: 5\ndata\n\n"},
		"a partial event":            {last: -1, text: event(0) + "id: 1\ndata", out: event(0), pending: "id: 1\ndata"},
		"an event that is too long":  {last: -1, text: "id: 0\ndata: " + strings.Repeat("a", defaultMaxEvent), fault: true},
		"a long event that ends":     {last: -1, text: "id: 0\ndata: " + strings.Repeat("a", defaultMaxEvent) + "\n\n", fault: true},
		"events repeated twice":      {last: 3, text: event(2) + event(3) + event(2), fault: true},
		"an event repeated forever":  {last: 3, text: event(3) + event(3), fault: true},
		"comments without end":       {last: -1, text: event(0) + strings.Repeat(":\n\n", maxCommentBytes/3+1), out: event(0) + strings.Repeat(":\n\n", maxCommentBytes/3), fault: true},
		"a comment without end":      {last: -1, text: event(0) + ":\n:" + strings.Repeat("a", maxCommentBytes), out: event(0), fault: true},
		"empty lines without end":    {last: -1, text: strings.Repeat("\n", maxCommentBytes+2), out: strings.Repeat("\n", maxCommentBytes), fault: true},
		"comments between events":    {last: -1, text: strings.Repeat(":\n\n", maxCommentBytes/4) + event(0) + strings.Repeat(":\n\n", maxCommentBytes/4), out: strings.Repeat(":\n\n", maxCommentBytes/4) + event(0) + strings.Repeat(":\n\n", maxCommentBytes/4)},
		"a long event with comments": {last: -1, text: ":\nid: 0\ndata: " + strings.Repeat("a", maxCommentBytes) + "\n\n", out: ":\nid: 0\ndata: " + strings.Repeat("a", maxCommentBytes) + "\n\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for _, step := range []int{1, 7, len(c.text)} {
				e := &eventSplitter{last: c.last}
				e.startTarget()
				var out []byte
				for at := 0; at < len(c.text); at += step {
					out = append(out, e.split([]byte(c.text[at:min(len(c.text), at+step)]))...)
				}
				if diff := cmp.Diff(c.out, string(out)); diff != "" || e.fault != c.fault {
					t.Fatalf("reads of %d bytes: fault %v, want %v; %s", step, e.fault, c.fault, diff)
				}
				if !c.fault && string(e.pending) != c.pending {
					t.Fatalf("pending %q, want %q", e.pending, c.pending)
				}
			}
		})
	}
}

// For any bytes, split in any way and from any number of targets, a caller gets the events of a
// run in order and once each, and comments.
func TestRandomEvents(t *testing.T) {
	parts := []string{event(0), event(1), event(2), event(3), ": c\n\n", "data: x\n\n", "id: 1\n", "\n", "id: x\n\n", "nonsense\n", "\r\n\r\n", "id: 2\nid: 3\n\n"}
	rapid.Check(t, func(t *rapid.T) {
		e := &eventSplitter{last: -1}
		var got []byte
		for range rapid.IntRange(1, 3).Draw(t, "targets") {
			e.startTarget()
			text := strings.Join(rapid.SliceOfN(rapid.SampledFrom(parts), 0, 8).Draw(t, "parts"), "")
			for len(text) > 0 {
				n := rapid.IntRange(1, len(text)).Draw(t, "read")
				got = append(got, e.split([]byte(text[:n]))...)
				text = text[n:]
			}
		}
		next := int64(-1)
		for _, block := range bytes.SplitAfter(got, eventEnd) {
			if bytes.Contains(block, []byte("nonsense")) || bytes.Contains(block, []byte("\r")) || bytes.Count(block, []byte("id:")) > 1 {
				t.Fatalf("got %q, in %q", block, got)
			}
			_, text, found := strings.Cut(string(block), "id: ")
			if !found {
				if strings.Contains(string(block), "data") {
					t.Fatalf("got %q, in %q", block, got)
				}
				continue
			}
			id := int64(text[0] - '0')
			if next >= 0 && id != next {
				t.Fatalf("got %q instead of event %d, in %q", block, next, got)
			}
			next = id + 1
		}
	})
}

// Guards against comments that are passed on as fast as a target sends them.
func TestCommentsArePassedOnOnceInAWhile(t *testing.T) {
	now := time.Hour
	e := &eventSplitter{last: -1, now: func() time.Duration { return now }}
	e.startTarget()
	var out []byte
	for range 30 {
		out = append(out, e.split([]byte(":\n\n"))...)
		now += commentInterval / 10
	}
	out = append(out, e.split([]byte(event(0)))...)
	if want := strings.Repeat(":\n\n", 3) + event(0); string(out) != want || e.fault {
		t.Errorf("passed on %q, want %q, fault %v", out, want, e.fault)
	}
}

// Guards against boxes with little memory that hold events of any size.
func TestEventsAreLimitedByMemory(t *testing.T) {
	for size, fault := range map[int]bool{1000: false, 2000: true} {
		e := &eventSplitter{last: -1, maxEvent: 1024}
		e.startTarget()
		e.split([]byte("id: 0\ndata: " + strings.Repeat("a", size) + "\n\n"))
		if e.fault != fault {
			t.Errorf("an event of %d bytes: fault %v", size, e.fault)
		}
	}
}
