// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package boxload

import (
	"testing"
	"time"
)

const (
	testCapacity = 1.25e6 // bytes per second, a link of 10 Mbit/s
	testPart     = 2048
	testTick     = time.Millisecond
)

// play offers short calls and long bodies in parts to a link for a time, and returns the greatest queue
// at the link, as the time to drain it, and the bytes of long bodies that were admitted.
func play(p *Pacer, shortPerSecond, longPerSecond float64, lasts time.Duration) (queue time.Duration, long float64) {
	total, waiting, queued, worst := 0.0, 0.0, 0.0, 0.0
	for now := time.Duration(0); now < lasts; now += testTick {
		short := shortPerSecond * testTick.Seconds()
		waiting += longPerSecond * testTick.Seconds()
		total += short
		queued += short
		for waiting >= testPart && p.Wait(int64(total), now) == 0 {
			waiting -= testPart
			total += testPart
			queued += testPart
			long += testPart
		}
		queued = max(0, queued-testCapacity*testTick.Seconds())
		worst = max(worst, queued)
	}
	return time.Duration(worst / testCapacity * float64(time.Second)), long
}

// The load is that of one box to which all callers of an organisation are assigned: short calls take
// 0.45 of its link, and long bodies are offered beyond the rest.
func TestShortCallsFindAShortQueue(t *testing.T) {
	cases := map[string]struct {
		short, long float64
		// queue is the greatest queue, least the share of the link that long bodies get at least.
		queue time.Duration
		least float64
	}{
		"no long bodies":               {short: 0.45},
		"long bodies fit":              {short: 0.45, long: 0.3, queue: 30 * time.Millisecond, least: 0.29},
		"long bodies beyond the rest":  {short: 0.45, long: 1.2, queue: 30 * time.Millisecond, least: 0.33},
		"long bodies alone":            {long: 2, queue: 30 * time.Millisecond, least: 0.78},
		"short calls need almost all":  {short: 0.78, long: 1, queue: 30 * time.Millisecond, least: 0.01},
		"short calls need all of it":   {short: 0.95, long: 1, queue: 30 * time.Millisecond},
		"a tenfold load of both kinds": {short: 0.75, long: 10, queue: 30 * time.Millisecond, least: 0.03},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			const lasts = 10 * time.Second
			queue, long := play(&Pacer{Capacity: testCapacity}, c.short*testCapacity, c.long*testCapacity, lasts)
			if share := long / lasts.Seconds() / testCapacity; queue > c.queue || share < c.least {
				t.Errorf("queue of %s, long bodies got %.3f of the link; want at most %s and at least %.2f", queue, share, c.queue, c.least)
			}
		})
	}
}

// Guards against long bodies that wait for ever after a burst of other traffic.
func TestLongBodiesWaitABoundedTime(t *testing.T) {
	p := &Pacer{Capacity: testCapacity}
	p.Wait(0, 0)
	burst := int64(10 * testCapacity)
	if wait := p.Wait(burst, time.Second); wait > maxDebtTime {
		t.Fatalf("a wait of %s after a burst, want at most %s", wait, maxDebtTime)
	}
	if wait := p.Wait(burst, time.Second+maxDebtTime); wait != 0 {
		t.Fatalf("still a wait of %s when the link has been free for %s", wait, maxDebtTime)
	}
}
