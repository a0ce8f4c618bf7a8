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

// On links with 3 % packet loss targets were ejected as unreachable, seven times in 5 s, and
// calls went to targets far from their cached prompts: the SYN of a connection was lost, and
// nothing was sent again within the dial timeout. While the box's own link is congested no
// second dial is started, since that would add to the congestion.
func TestLostPacketDoesNotEjectTarget(t *testing.T) {
	tests := map[string]struct {
		congested bool
		// reached is set when the dial is to succeed.
		reached bool
	}{
		"lossy link":     {reached: true},
		"congested link": {congested: true},
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
			p := newPool(clock.System{}.Boot, nil, func() bool { return test.congested })
			p.connect, p.hedgedConnect = loses, dial.Hedged(loses, secondDialDelay)
			_, err := p.dial(context.Background(), &spread.Target{ID: "one", Address: "127.0.0.1:1"})
			if diff := cmp.Diff(test.reached, err == nil); diff != "" {
				t.Fatalf("%v: %s", err, diff)
			}
		})
	}
}
