// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/models/speed"
	"havenwinch.dev/havenwinch/modules/clock"
)

// pacedSink is a collector that says when it got the first events.
type pacedSink struct {
	collector
	begun chan struct{}
}

func (s *pacedSink) Write(p []byte) error {
	if s.writes == 0 {
		close(s.begun)
	}
	return s.collector.Write(p)
}

// paced answers with a stream of six events, the first of which arrives before the others are sent.
func paced(begun <-chan struct{}) script {
	return func(c net.Conn, r received) {
		first, rest := event(0), event(1)+event(2)+event(3)+event(4)+event(5)
		_, _ = fmt.Fprintf(c, "%s%x\r\n%s\r\n", head(r.id, "Transfer-Encoding: chunked\r\n\r\n"), len(first), first)
		<-begun
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(rest), rest)
	}
}

// Calls that one target has answered alone are samples, unless the box's own link is congested.
func TestSpeedSamples(t *testing.T) {
	tests := map[string]struct {
		call      func(c *Call)
		scripts   func(begun chan struct{}) (one, two script)
		congested bool
		tokens    uint64
		events    uint64
	}{
		"one target":     {tokens: 2000, events: 5},
		"short prompt":   {call: func(c *Call) { c.UnsharedTokens = 100 }, events: 5},
		"congested link": {congested: true},
		"rejected by the first target": {scripts: func(begun chan struct{}) (one, two script) {
			return rejects(), paced(begun)
		}},
		"broken off": {scripts: func(chan struct{}) (one, two script) {
			return chunks(false, event(0), event(1)), closeConn()
		}, tokens: 2000},
		"stream taken up by its caller": {call: func(c *Call) { c.LastEvent = 0 }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &pacedSink{begun: make(chan struct{})}
			one, two := paced(s.begun), paced(s.begun)
			if test.scripts != nil {
				one, two = test.scripts(s.begun)
			}
			f := newForwarder(t, &fakeLeases{}, newTarget(t, "one", one), newTarget(t, "two", two))
			f.opts.IsCongested = func() bool { return test.congested }
			call := newCall("stream")
			call.UnsharedTokens, call.InputTokens = 2000, 3000
			if test.call != nil {
				test.call(call)
			}
			_ = f.Serve(context.Background(), call, s)
			var tokens, events uint64
			for _, m := range f.speedSamples.Take(f.opts.Clock.Boot()) {
				if m.GetTarget() != "one" {
					t.Fatalf("sample %v", m)
				}
				tokens, events = tokens+m.GetPromptTokens(), events+m.GetEvents()
			}
			if tokens != test.tokens || events != test.events {
				t.Fatalf("samples of %d tokens and %d events, want %d and %d", tokens, events, test.tokens, test.events)
			}
		})
	}
}

// Of a plain service, the time to the answer is a sample.
func TestSpeedSamplesOfPlainServices(t *testing.T) {
	tests := map[string]struct {
		status int
		want   uint64
	}{
		"answered": {status: 200, want: 1},
		"refused":  {status: 404},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newForwarder(t, &fakeLeases{}, newTarget(t, "one", respond(test.status, "x")))
			f.opts.Store.Index().Service("s").Engine = nil
			if err := f.Serve(context.Background(), newCall("safe"), &collector{}); err != nil {
				t.Fatal(err)
			}
			events := uint64(0)
			for _, m := range f.speedSamples.Take(f.opts.Clock.Boot()) {
				events += m.GetEvents()
			}
			if events != test.want {
				t.Fatalf("%d samples, want %d", events, test.want)
			}
		})
	}
}

// Samples are reported until control has answered, and weights follow the list that it sends: they
// are 1 again when it has not answered for long.
func TestSpeedsInReports(t *testing.T) {
	idle := func(net.Conn, received) {}
	f := newForwarder(t, &fakeLeases{}, newTarget(t, "one", idle), newTarget(t, "two", idle))
	c := clock.NewFake()
	f.opts.Clock = c
	if f.SpeedsAge() != -1 {
		t.Fatal("the age of the list is known before control has sent one")
	}
	f.speedSamples.AddPrompt(speed.Instance{Target: "one"}, 1000, time.Second, c.Boot())
	report := func(resp *betweenv1.LeaseResponse) *betweenv1.LeaseRequest {
		r := &betweenv1.LeaseRequest{}
		f.TellLimits(r)
		f.TakeLimits(r, resp, nil)
		return r
	}
	of := func(target string, nanoseconds uint64) *betweenv1.TargetSpeed {
		return &betweenv1.TargetSpeed{Target: target, PromptTokenTime: nanoseconds}
	}
	if r := report(nil); len(r.GetSpeedSamples()) != 1 {
		t.Fatalf("report with samples %v", r.GetSpeedSamples())
	}
	if r := report(&betweenv1.LeaseResponse{SpeedsList: "one", SpeedsRevision: 4, Speeds: []*betweenv1.TargetSpeed{of("one", 10000), of("two", 40000)}}); len(r.GetSpeedSamples()) != 1 {
		t.Fatalf("report after one without an answer with samples %v", r.GetSpeedSamples())
	}
	weights := map[string]float64{}
	for _, w := range f.TargetWeights() {
		weights[w.Target] = w.Weight
	}
	if len(weights) != 2 || weights["one"] <= 1 || weights["two"] >= 1 {
		t.Fatalf("weights %v", weights)
	}
	c.Advance(speed.MaxAge - time.Second)
	r := report(&betweenv1.LeaseResponse{SpeedsList: "one", SpeedsRevision: 4})
	if len(r.GetSpeedSamples()) != 0 || r.GetSpeedsList() != "one" || r.GetSpeedsRevision() != 4 {
		t.Fatalf("report %v", r)
	}
	c.Advance(speed.MaxAge - time.Second)
	f.expireSpeeds()
	if n := len(f.TargetWeights()); n != 2 {
		t.Fatalf("%d targets have weights within the age of the list", n)
	}
	c.Advance(time.Second)
	f.expireSpeeds()
	if n := len(f.TargetWeights()); n != 0 || f.SpeedsAge() != speed.MaxAge.Seconds() {
		t.Fatalf("%d targets have weights, the list is %.0f s old", n, f.SpeedsAge())
	}
}
