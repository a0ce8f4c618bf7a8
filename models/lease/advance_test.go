// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease

import (
	"testing"
	"time"
)

func TestAdvance(t *testing.T) {
	cases := map[string]struct {
		free       uint64
		rate       float64
		reportTime time.Duration
		want       uint64
	}{
		"reports are quick":           {free: 400000, rate: 360000, reportTime: 20 * time.Millisecond, want: 68000},
		"lease for many seconds":      {free: 66000, rate: 6000, reportTime: 20 * time.Millisecond},
		"no demand":                   {free: 400000, reportTime: time.Second},
		"reports take long":           {free: 400000, rate: 360000, reportTime: 250 * time.Millisecond, want: 140000},
		"demand beyond the lease":     {free: 400000, rate: 9e6, reportTime: 250 * time.Millisecond, want: 320000},
		"small demand, slow reports":  {free: 60000, rate: 6000, reportTime: 300 * time.Millisecond},
		"time of an advance is bound": {free: 2000000, rate: 360000, reportTime: time.Minute, want: 160000},
		"empty lease":                 {rate: 360000, reportTime: time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := advance(c.free, c.rate, c.reportTime); got != c.want {
				t.Fatalf("advance %d, want %d", got, c.want)
			}
		})
	}
}

// callers is what the callers of one box got.
type callers struct{ calls, refused int }

// playSlowReports sends perSecond calls through a box that holds a lease of 800,000 tokens,
// whose reports take reportTime and whose lease control fills up with each answer. Unless
// the time of reports is measured, the holder takes them for quick.
func playSlowReports(perSecond int, reportTime time.Duration, measured bool) callers {
	const (
		lease  = 800000
		tokens = 3600
		length = 6 * time.Second
	)
	now := time.Second
	tb := granted(lease, now)
	l := tb.Of(org)
	nextReport, answerAt := now, time.Duration(-1)
	var got callers
	for i := 0; now < time.Second+length; i++ {
		now = time.Second + time.Duration(i)*time.Second/time.Duration(perSecond)
		if answerAt >= 0 && now >= answerAt {
			tb.ApplyGrant(org, l.Spent+l.Reserved+lease, 1<<40, 1<<40, now)
			answerAt, nextReport = -1, now
		}
		if answerAt < 0 && now >= nextReport {
			if measured {
				tb.ReportTime = reportTime
			}
			tb.Sample(now)
			answerAt = now + reportTime
		}
		got.calls++
		if !tb.Reserve(org, tokens, now) {
			tb.AddRefused(org, tokens)
			got.refused++
		}
	}
	return got
}

// A box through which most of an organisation's calls go refused them with hundreds of
// thousands of free tokens, as its reports took long on a congested link.
func TestSlowReportsDoNotStopABusyBox(t *testing.T) {
	cases := map[string]struct {
		perSecond  int
		reportTime time.Duration
		// most bounds the share of refused calls, least that if reports are taken for quick.
		most, least float64
	}{
		"quick reports":                   {perSecond: 100, reportTime: 20 * time.Millisecond, most: 0.01},
		"reports take 300 ms":             {perSecond: 100, reportTime: 300 * time.Millisecond, most: 0.1, least: 0.3},
		"three times the calls, 300 ms":   {perSecond: 300, reportTime: 300 * time.Millisecond, most: 0.3, least: 0.4},
		"reports take more than a second": {perSecond: 100, reportTime: 1200 * time.Millisecond, most: 0.55, least: 0.6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			share := func(r callers) float64 { return float64(r.refused) / float64(r.calls) }
			with := share(playSlowReports(c.perSecond, c.reportTime, true))
			without := share(playSlowReports(c.perSecond, c.reportTime, false))
			t.Logf("refused %.3f, %.3f if reports are taken for quick", with, without)
			if with > c.most {
				t.Fatalf("refused %.3f, want at most %.3f", with, c.most)
			}
			if without < c.least {
				t.Fatalf("refused %.3f if reports are taken for quick: the load needs no advance", without)
			}
		})
	}
}
