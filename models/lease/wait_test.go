// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestAvailableIn(t *testing.T) {
	// A lease of 140,000 tokens may use 14,000 at once and 10,000 a second without a report.
	const size = 140000
	cases := map[string]struct {
		after  time.Duration
		tokens uint64
		want   time.Duration
		other  bool
	}{
		"within the burst":               {tokens: 14000},
		"above the burst":                {tokens: 19000, want: 500 * time.Millisecond},
		"above the burst, later":         {after: 200 * time.Millisecond, tokens: 19000, want: 300 * time.Millisecond},
		"when the box counts as cut off": {tokens: 60000, want: partitionTimeout},
		"long after that":                {tokens: 97500, want: partitionTimeout + time.Second},
		"more than the lease":            {tokens: size + 1, other: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Second
			tb := granted(size, now)
			got, limited := tb.AvailableIn(org, c.tokens, now+c.after)
			if limited == c.other || (got-c.want).Abs() > time.Millisecond {
				t.Fatalf("available in %s (limited: %v), want %s", got, limited, c.want)
			}
		})
	}
}

// Guards against a Retry-After time at which the limit refuses the request again.
func TestRandomAvailableInIsExact(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.Uint64Range(4, 4000000).Draw(rt, "lease")
		now := time.Second
		tb := granted(size, now)
		tb.Reserve(org, rapid.Uint64Range(0, BurstLimit(size)).Draw(rt, "used"), now)
		now += time.Duration(rapid.IntRange(0, 5000000).Draw(rt, "us")) * time.Microsecond
		tokens := rapid.Uint64Range(1, size).Draw(rt, "tokens")
		wait, limited := tb.AvailableIn(org, tokens, now)
		if !limited {
			return
		}
		const rounding = 10 * time.Microsecond
		// A refill of less than a token may be rounded down.
		early := time.Duration(2 / RateLimit(size) * float64(time.Second))
		if tb.Of(org).limit.available(now+wait+rounding) < float64(tokens) {
			rt.Fatalf("refused after the %s that were told", wait)
		}
		if wait > early+rounding && tb.Of(org).limit.available(now+wait-early-rounding) >= float64(tokens) {
			rt.Fatalf("admitted long before the %s that were told", wait)
		}
	})
}

// Guards against a large request that is passed by small ones until its wait ends.
func TestWaitersAreAdmittedInOrder(t *testing.T) {
	now := time.Second
	tb := granted(140000, now)
	large := tb.Wait(org, 19000, now+time.Second)
	tb.Decide(false, now)
	if tb.Reserve(org, 10, now) {
		t.Fatal("a small request passed a large one that waits for the limit")
	}
	small := tb.Wait(org, 10, now+time.Second)
	_, again := tb.Decide(false, now)
	if large.Admitted || small.Admitted || small.Ahead != 19000 {
		t.Fatalf("admitted %v, %v with %d tokens ahead", large.Admitted, small.Admitted, small.Ahead)
	}
	tb.Decide(false, again)
	if !large.Admitted || small.Admitted {
		t.Fatalf("admitted %v, %v when the limit admits only the first", large.Admitted, small.Admitted)
	}
	tb.Decide(false, again+2*time.Millisecond)
	if !small.Admitted || len(tb.waiting) > 0 {
		t.Fatal("the second was not admitted in its turn")
	}
}

// Guards against small requests that are refused for a large one that only a report can admit.
func TestWaiterBeyondTheLimitHoldsBackNobody(t *testing.T) {
	now := time.Second
	tb := granted(140000, now)
	large := tb.Wait(org, 60000, now+time.Second)
	tb.Decide(false, now)
	if !tb.Reserve(org, 1000, now) {
		t.Fatal("a small request was refused")
	}
	tb.Sample(now)
	tb.ApplyGrant(org, 140000, 140000, 140000, now)
	if tb.Decide(false, now); !large.Admitted {
		t.Fatal("not admitted although control has received a report of its tokens")
	}
}

// Guards against a wait whose end is known beforehand: cut off from control, only the limit can
// admit a request.
func TestWaitWhileCutOff(t *testing.T) {
	cases := map[string]struct {
		tokens, ahead uint64
		refused       bool
	}{
		"soon enough":             {tokens: 18000},
		"too late":                {tokens: 20000, refused: true},
		"soon enough, but others": {tokens: 3000, ahead: 17000, refused: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Second
			tb := granted(140000, now)
			if c.ahead > 0 {
				tb.Wait(org, c.ahead, now+time.Second)
			}
			w := tb.Wait(org, c.tokens, now+time.Second)
			decided, _ := tb.Decide(true, now)
			if (len(decided) == 1) != c.refused || w.Admitted {
				t.Fatalf("%d decided at once, admitted %v", len(decided), w.Admitted)
			}
			if left := tb.Of(org).Reserved; c.refused && left != c.ahead {
				t.Fatalf("%d tokens reserved after the refusal", left)
			}
		})
	}
}

// sampledReport is a report on its way to control.
type sampledReport struct {
	number, basis uint64
	counters      counters
	// stamp is a time before the sample was taken.
	stamp time.Duration
}

// waitSchedule plays one holder, whose process may restart, and control.
type waitSchedule struct {
	rt       *rapid.T
	now      time.Duration
	table    *Table
	waiters  []*Waiter
	open     uint64
	view     controlView
	viewed   uint64
	reports  []sampledReport
	acked    bool
	answered time.Duration
	stamp    time.Duration
}

func (s *waitSchedule) restart() {
	*s = waitSchedule{rt: s.rt, now: s.now, table: NewTable(), view: controlView{stamp: s.now}, acked: true, answered: s.now}
	s.table.Of(org)
}

// report sends a report with a new sample, or with the last one again if control has not
// acknowledged it.
func (s *waitSchedule) report() {
	if s.acked {
		s.stamp, s.acked = s.answered, false
		s.table.Sample(s.now)
	}
	l := s.table.Of(org)
	s.reports = append(s.reports, sampledReport{number: s.table.samples, basis: l.limit.basis, counters: l.limit.sample, stamp: s.stamp})
}

// deliver has one of the reports reach control, which may get it again, and may lose the answer.
func (s *waitSchedule) deliver() {
	if len(s.reports) == 0 {
		return
	}
	r := s.reports[rapid.IntRange(0, len(s.reports)-1).Draw(s.rt, "report")]
	if r.number < s.viewed {
		return
	}
	s.viewed = r.number
	s.view.counters, s.view.stamp = r.counters, r.stamp
	s.view.allotted += uint64(rapid.IntRange(0, 50000).Draw(s.rt, "grant"))
	s.view.basis = max(r.basis, s.view.free())
	if r.number == s.table.samples && !s.acked && rapid.Bool().Draw(s.rt, "answer arrives") {
		s.table.ApplyGrant(org, s.view.allotted, 1<<40, 1<<40, s.now)
		s.acked, s.answered = true, s.now
	}
}

func (s *waitSchedule) step() {
	tokens := uint64(rapid.IntRange(1, 30000).Draw(s.rt, "tokens"))
	switch rapid.SampledFrom([]string{"reserve", "wait", "wait", "wait", "leave", "settle", "report", "deliver", "deliver", "lose", "restart"}).Draw(s.rt, "step") {
	case "reserve":
		if s.table.Reserve(org, tokens, s.now) {
			s.open += tokens
		}
	case "wait":
		wait := time.Duration(rapid.IntRange(1, 1000).Draw(s.rt, "wait ms")) * time.Millisecond
		if w := s.table.Wait(org, tokens, s.now+wait); w != nil {
			s.waiters = append(s.waiters, w)
		}
	case "leave":
		if len(s.waiters) > 0 {
			s.table.Leave(s.waiters[0])
			s.waiters = s.waiters[1:]
		}
	case "settle":
		part := min(tokens, s.open)
		s.table.Settle(org, part, part/2)
		s.open -= part
	case "report":
		s.report()
	case "deliver":
		s.deliver()
	case "lose":
		s.reports = nil
	case "restart":
		if rapid.IntRange(0, 9).Draw(s.rt, "rarely") == 0 {
			s.restart()
		}
	}
}

// decide checks that nobody who waits for the limit is passed by a later request that it admits.
func (s *waitSchedule) decide() {
	acknowledged := s.table.Of(org).acknowledged
	decided, _ := s.table.Decide(s.now-s.answered > 1500*time.Millisecond, s.now)
	isDecided := map[*Waiter]bool{}
	for _, w := range decided {
		isDecided[w] = true
		if w.Admitted {
			s.open += w.Tokens
		}
	}
	var kept []*Waiter
	held := false
	for _, w := range s.waiters {
		if !isDecided[w] {
			kept = append(kept, w)
			held = held || w.inTime
			if s.now >= w.Until {
				s.rt.Fatalf("a request waits beyond its end")
			}
		} else if held && w.Admitted && w.samples >= acknowledged {
			s.rt.Fatalf("a request of %d tokens passed one that waits for the limit", w.Tokens)
		}
	}
	s.waiters = kept
}

func (s *waitSchedule) check() {
	l := s.table.Of(org)
	pending := uint64(0)
	for _, w := range s.waiters {
		pending += w.Tokens
	}
	if l.Reserved != s.open+pending {
		s.rt.Fatalf("reserved %d, want %d in use and %d pending", l.Reserved, s.open, pending)
	}
	used := l.Spent + s.open + l.Returned
	bound := s.view.counters.used() + min(s.view.free(), MaxUnreportedUse(s.view.basis, s.now-s.view.stamp))
	if used > bound {
		s.rt.Fatalf("used %d, control's bound %d (basis %d, %s since the stamp)", used, bound, s.view.basis, s.now-s.view.stamp)
	}
}

// Guards against waits that admit more than control counts on when it reclaims the lease of a
// process that has ended: reports may be lost, late or doubled.
func TestRandomWaitsStayWithinControlsBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &waitSchedule{rt: rt, now: time.Second}
		s.restart()
		for range 150 {
			s.now += time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond
			s.table.ReportTime = time.Duration(rapid.IntRange(0, 1500).Draw(rt, "report ms")) * time.Millisecond
			s.step()
			s.decide()
			s.check()
		}
	})
}

// playWaits sends 100 calls a second, each tenth of large tokens and the others of 3,600, through a
// box with a lease of 800,000 whose reports take reportTime. A call waits for the limit for at
// most wait, zero to refuse it at once. It returns what the callers got and the longest wait of
// a call that was admitted.
func playWaits(large uint64, reportTime, wait time.Duration) (got callers, longest time.Duration) {
	const (
		size   = 800000
		length = 6 * time.Second
		step   = 10 * time.Millisecond
	)
	start := time.Second
	tb := granted(size, start)
	l := tb.Of(org)
	arrived := map[*Waiter]time.Duration{}
	nextReport, answerAt := start, time.Duration(-1)
	for now := start; now < start+length; now += step {
		if answerAt >= 0 && now >= answerAt {
			tb.ApplyGrant(org, l.Spent+l.Reserved+size, 1<<40, 1<<40, now)
			answerAt, nextReport = -1, now
		}
		if answerAt < 0 && now >= nextReport {
			tb.ReportTime = reportTime
			tb.Sample(now)
			answerAt = now + reportTime
		}
		tokens := uint64(3600)
		if got.calls%10 == 9 {
			tokens = large
		}
		got.calls++
		if !tb.Reserve(org, tokens, now) {
			if w := tb.Wait(org, tokens, now+wait); w != nil {
				arrived[w] = now
			} else {
				got.refused++
			}
		}
		decided, _ := tb.Decide(false, now)
		for _, w := range decided {
			if w.Admitted {
				longest = max(longest, now-arrived[w])
			} else {
				tb.AddRefused(org, w.Tokens)
				got.refused++
			}
		}
	}
	return got, longest
}

// Guards against a box that refuses calls although its lease has enough tokens and its reports
// are only slow.
func TestWaitsForSlowReports(t *testing.T) {
	cases := map[string]struct {
		large      uint64
		reportTime time.Duration
		// most bounds the share of refused calls, least that of calls that do not wait.
		most, least float64
	}{
		"reports take 300 ms":              {large: 3600, reportTime: 300 * time.Millisecond, least: 0.03},
		"reports take 700 ms":              {large: 3600, reportTime: 700 * time.Millisecond, least: 0.2},
		"large calls, reports take 300 ms": {large: 60000, reportTime: 300 * time.Millisecond, least: 0.03},
		"large calls, reports take 700 ms": {large: 60000, reportTime: 700 * time.Millisecond, most: 0.1, least: 0.3},
		"large calls, quick reports":       {large: 60000, reportTime: 20 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			with, longest := playWaits(c.large, c.reportTime, time.Second)
			without, _ := playWaits(c.large, c.reportTime, 0)
			t.Logf("of %d refused %d, %d without waits; longest wait %s", with.calls, with.refused, without.refused, longest)
			share := func(r callers) float64 { return float64(r.refused) / float64(r.calls) }
			if share(with) > c.most || longest > time.Second {
				t.Fatalf("refused %.3f after at most %s, want at most %.3f", share(with), longest, c.most)
			}
			if share(without) < c.least {
				t.Fatalf("refused %.3f without waits: the load needs none", share(without))
			}
		})
	}
}
