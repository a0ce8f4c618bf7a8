// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package bytebudget

import (
	"sync"
	"testing"
)

func TestBudget(t *testing.T) {
	b := New(10)
	h := Hold{Budget: b}
	if !h.Grow(4) || !h.Grow(6) || h.Grow(1) {
		t.Fatalf("%d bytes are held, want 10 and no more", b.Held())
	}
	h.ShrinkTo(3)
	if b.Held() != 3 || h.Size() != 3 || !b.TryAcquire(7) {
		t.Fatalf("%d bytes are held, of which %d by the owner", b.Held(), h.Size())
	}
	h.Release()
	h.Release()
	b.Release(7)
	if b.Held() != 0 {
		t.Errorf("%d bytes are held after the release", b.Held())
	}
}

func TestNoBudgetHasNoLimit(t *testing.T) {
	var b *Budget
	h := Hold{}
	if !b.TryAcquire(1<<40) || !h.Grow(1<<40) || b.Held() != 0 {
		t.Error("a nil budget limits")
	}
	b.Release(1)
	h.Release()
}

// Guards against more bytes than the limit that are acquired at the same time, and against lost ones.
func TestConcurrentUse(t *testing.T) {
	b := New(100)
	var all sync.WaitGroup
	for range 20 {
		all.Go(func() {
			for range 1000 {
				if b.TryAcquire(30) {
					b.Release(30)
				}
			}
		})
	}
	all.Wait()
	if b.Held() != 0 {
		t.Errorf("%d bytes are held at the end", b.Held())
	}
}

// Guards against a few large owners that leave no room for small ones.
func TestLargeOwnersLeaveRoomForSmallOnes(t *testing.T) {
	b := New(1 << 20)
	var large []*Hold
	for {
		h := &Hold{Budget: b}
		if !h.GrowShared(2 * smallHold) {
			break
		}
		large = append(large, h)
	}
	if len(large) == 0 || b.Held() > 1<<19 {
		t.Fatalf("%d large owners hold %d bytes", len(large), b.Held())
	}
	small := &Hold{Budget: b}
	if !small.GrowShared(smallHold) || small.GrowShared(1) {
		t.Fatalf("a small owner holds %d bytes", small.Size())
	}
	small.Release()
	for _, h := range large {
		h.Release()
	}
	if b.Held() != 0 {
		t.Fatalf("%d bytes are held by nobody", b.Held())
	}
}
