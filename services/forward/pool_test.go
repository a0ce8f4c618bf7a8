// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"havenwinch.dev/havenwinch/models/spread"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/modules/dial"
)

// On links that lose 3 of 100 packets targets were taken out as unreachable, seven
// times in 5 s, and calls went far from where their prompts were kept: the first packet
// of a connection was lost, and nothing was sent again within the time that a
// connection may take. While the box's own link is crowded no second one is sent: that
// would fill it more.
func TestOneLostPacketTakesNoTargetOut(t *testing.T) {
	tests := map[string]struct {
		crowded bool
		// reached says whether the target is.
		reached bool
	}{
		"a lossy link":   {reached: true},
		"a crowded link": {crowded: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var tries atomic.Int64
			loses := func(ctx context.Context, _, _ string) (net.Conn, error) {
				if tries.Add(1) == 1 {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				here, _ := net.Pipe()
				return here, nil
			}
			p := newPool(clock.System{}.Boot, nil, func() bool { return test.crowded })
			p.connect, p.again = loses, dial.Again(loses, dialAgain)
			_, err := p.dial(context.Background(), &spread.Target{ID: "one", Address: "127.0.0.1:1"})
			if diff := cmp.Diff(test.reached, err == nil); diff != "" {
				t.Fatalf("%v: %s", err, diff)
			}
		})
	}
}
