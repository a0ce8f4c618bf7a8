// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"havenwinch.dev/havenwinch/structs"
)

// endlessHeads has what comes before the end of a head: a beginning, and what is repeated.
var endlessHeads = map[string][2]string{
	"status line":            endless["status line"],
	"field":                  endless["field"],
	"fields":                 endless["fields"],
	"no head":                endless["no head"],
	"after interim answers":  endless["after interim answers"],
	"answer to another call": endless["answer to another call"],
}

// Guards against calls without another target that are held by a head without end, or refused as not run.
func TestCallWithoutAnotherTargetLeavesAnEndlessHead(t *testing.T) {
	for name, e := range endlessHeads {
		for _, route := range []string{"safe", "unsafe", "stream", "resume"} {
			t.Run(name+", "+route, func(t *testing.T) {
				t.Parallel()
				one := newTarget(t, "one", trickles(t, e[0], e[1]))
				f, log := newLoggingForwarder(t, one)
				f.headLimit = 100 * time.Millisecond
				sink := &collector{}
				err := f.Serve(context.Background(), newCall(route), sink)
				var refusal *Refusal
				if !errors.As(err, &refusal) || refusal.Kind != structs.KindTargetFailed || refusal.Run != structs.RunUnknown || sink.heads > 0 {
					t.Fatalf("Serve returned %v (%+v), %d heads, want a refusal of a call whose run is not known", err, refusal, sink.heads)
				}
				if n := len(one.requests()); n != 1 {
					t.Errorf("the target got %d calls", n)
				}
				if name != "answer to another call" && !strings.Contains(log.String(), errHeadTrickles.Error()) {
					t.Error("the log does not tell that the head has no end")
				}
			})
		}
	}
}

// pausing writes parts with a pause between them.
func pausing(pause time.Duration, parts ...string) script {
	return func(c net.Conn, r received) {
		for _, p := range parts {
			_, _ = io.WriteString(c, strings.ReplaceAll(p, "ID", r.id))
			time.Sleep(pause)
		}
	}
}

// Guards against slow sound heads that are taken for heads without end.
func TestSlowHeadsAreRead(t *testing.T) {
	var lines []string
	for range 20 {
		lines = append(lines, "X-A: a\r\n")
	}
	fields := strings.Split("HTTP/1.1 200 OK\r\n|X-Signed: s\r\n|X-Id: ID\r\n|Content-Length: 2\r\n|\r\n|o|k", "|")
	tests := map[string]struct {
		pause time.Duration
		parts []string
	}{
		"byte by byte":              {pause: time.Millisecond, parts: strings.Split(strings.ReplaceAll(strings.Join(fields, ""), "ID", "id-1"), "")},
		"a silence within a line":   {pause: 4 * trickleGap, parts: []string{"HTTP/1.1 200 ", strings.TrimPrefix(strings.Join(fields, ""), "HTTP/1.1 200 ")}},
		"a silence before the end":  {pause: 4 * trickleGap, parts: []string{strings.Join(fields[:4], ""), "\r\nok"}},
		"an interim answer, silent": {pause: 4 * trickleGap, parts: []string{"HTTP/1.1 103 X\r\n\r\n", strings.Join(fields, "")}},
		"many fields":               {pause: 20 * time.Millisecond, parts: append(append(append([]string{}, fields[:3]...), lines...), fields[3:]...)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newForwarder(t, &fakeLeases{}, newTarget(t, "one", pausing(test.pause, test.parts...)))
			// A silence counts as trickleGap, which is less than this.
			f.headLimit = 2 * trickleGap
			sink := &collector{}
			if err := f.Serve(context.Background(), newCall("unsafe"), sink); err != nil || !sink.ended || sink.body.String() != "ok" {
				t.Fatalf("Serve returned %v, ended %v: %q", err, sink.ended, sink.body.String())
			}
		})
	}
}

// What counts towards the limits of a head.
func TestTrickle(t *testing.T) {
	type arrival struct {
		gap   time.Duration
		bytes string
	}
	repeat := func(n int, a arrival) (list []arrival) {
		for range n {
			list = append(list, a)
		}
		return list
	}
	tests := map[string]struct {
		arrivals  []arrival
		congested bool
		expired   bool
	}{
		"one line":                  {arrivals: repeat(31, arrival{100 * time.Millisecond, "a"}), expired: true},
		"one line, not so long":     {arrivals: repeat(30, arrival{100 * time.Millisecond, "a"})},
		"many lines":                {arrivals: repeat(61, arrival{100 * time.Millisecond, "a\r\n"}), expired: true},
		"many lines, not so long":   {arrivals: repeat(60, arrival{100 * time.Millisecond, "a\r\n"})},
		"few silences":              {arrivals: repeat(6, arrival{time.Hour, "a"})},
		"a byte after each silence": {arrivals: repeat(7, arrival{time.Hour, "a"}), expired: true},
		"a congested link":          {arrivals: repeat(100, arrival{100 * time.Millisecond, "a"}), congested: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Second
			l := &trickle{now: func() time.Duration { return now }, congested: func() bool { return test.congested }, lineLimit: headLineLimit, limit: headLimit}
			for _, a := range test.arrivals {
				now += a.gap
				l.record([]byte(a.bytes))
			}
			if l.expired != test.expired {
				t.Errorf("expired %v after %s of a line, %s in all", l.expired, l.line, l.total)
			}
		})
	}
}
