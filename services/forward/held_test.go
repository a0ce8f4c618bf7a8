// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"havenwinch.dev/havenwinch/modules/bytebudget"
)

// Guards against answers that together exceed the memory of the box, and that are lost for lack of it.
func TestAnswersAreHeldWithinMemory(t *testing.T) {
	const size = 100 << 10
	body := strings.Repeat("a", size)
	long := event(0) + "id: 1\ndata: " + body + "\n\n"
	inChunks := func(text string) script {
		return chunks(true, text[:size/2], text[size/2:])
	}
	tests := map[string]struct {
		route  string
		limit  int64
		answer script
		want   string
		// buffered is set if the answer is relayed at once, whole if it is complete.
		buffered, whole bool
	}{
		"an answer that fits":                 {route: "unsafe", limit: 2 * size, answer: respond(200, body), want: body, buffered: true, whole: true},
		"an answer that does not fit":         {route: "unsafe", limit: size / 2, answer: respond(200, body), want: body, whole: true},
		"chunks that do not fit":              {route: "safe", limit: size / 2, answer: inChunks(body), want: body, whole: true},
		"no memory at all":                    {route: "safe", answer: respond(200, body), want: body, whole: true},
		"no memory, a short answer":           {route: "safe", answer: respond(200, "ok"), want: "ok", buffered: true, whole: true},
		"a long event that fits":              {route: "stream", limit: 2 * size, answer: inChunks(long), want: long, whole: true},
		"a long event that does not fit":      {route: "stream", limit: size / 2, answer: inChunks(long), want: event(0)},
		"a stream of short events, no memory": {route: "stream", answer: chunks(true, event(0), event(1)), want: event(0) + event(1), whole: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newForwarder(t, &fakeLeases{}, newTarget(t, "one", test.answer))
			f.opts.Memory = bytebudget.New(test.limit)
			sink := &collector{}
			if err := f.Serve(context.Background(), newCall(test.route), sink); (err == nil) != test.whole || sink.body.String() != test.want || sink.ended != test.whole {
				t.Errorf("Serve returned %v, ended %v: %d bytes", err, sink.ended, sink.body.Len())
			}
			if test.buffered != (sink.writes == 1) && test.route != "stream" {
				t.Errorf("relayed in %d writes", sink.writes)
			}
			if n := f.opts.Memory.Held(); n != 0 {
				t.Errorf("%d bytes are held after the call", n)
			}
		})
	}
}

// Guards against the memory of answers that broke off, which would count until the call ends.
func TestBrokenAnswerIsNotHeld(t *testing.T) {
	const size = 100 << 10
	broken := rawResponse(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", signedHead, 2*size, strings.Repeat("a", size)))
	f := newForwarder(t, &fakeLeases{}, newTarget(t, "one", broken), newTarget(t, "two", respond(200, strings.Repeat("b", size))))
	// There is room for one of the two.
	f.opts.Memory = bytebudget.New(2 * size)
	sink := &collector{}
	if err := f.Serve(context.Background(), newCall("safe"), sink); err != nil || sink.writes != 1 || sink.body.Len() != size {
		t.Errorf("Serve returned %v: %d bytes in %d writes", err, sink.body.Len(), sink.writes)
	}
}
