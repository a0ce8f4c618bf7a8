// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"havenwinch.dev/havenwinch/models/spread"
)

// respondReport answers without the header fields of a target.
func respondReport(status int, body string) script {
	return func(c net.Conn, _ received) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
}

// One reader got all long prompts for 12 s while each was queued for more than 4 s, because
// boxes that were cut off from control did not know the load of the others; eleven other
// targets prefilled none.
func TestBusyReadersAreBypassed(t *testing.T) {
	home, reader := &spread.Target{ID: "home"}, &spread.Target{ID: "reader"}
	tests := map[string]struct {
		home  *spread.Target
		load  int
		want  string
		apart bool
	}{
		"idle":                 {home: home, want: "reader", apart: true},
		"one prompt queued":    {home: home, load: 1, want: "reader", apart: true},
		"two prompts queued":   {home: home, load: 2, want: "home"},
		"busy, no alternative": {load: 5, want: "reader", apart: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := choosePrefillTarget(spread.Choice{Target: reader, AffinityTarget: test.home, IsDedicated: true}, reader, test.load)
			if c.Target.ID != test.want || c.IsDedicated != test.apart {
				t.Fatalf("%s, apart %v", c.Target.ID, c.IsDedicated)
			}
		})
	}
}

func TestLeastBusyReader(t *testing.T) {
	tests := map[string]struct {
		// one is the reader that was chosen before the reports.
		one, two script
		// sent is set when the box has a prompt of its own queued at two.
		sent bool
		want string
	}{
		"other reader less busy":       {one: respondReport(200, "0 1"), two: respondReport(200, "0 0"), want: "two"},
		"other reader has a queue":     {one: respondReport(200, "0 1"), two: respondReport(200, "3 0"), want: "one"},
		"equally busy":                 {one: respondReport(200, "0 1"), two: respondReport(200, "1 0"), want: "one"},
		"prompt of this box in flight": {one: respondReport(200, "0 0"), two: respondReport(200, "0 0"), sent: true, want: "one"},
		"no report from the first":     {one: closeConn(), two: respondReport(200, "0 1"), want: "two"},
		"no reports":                   {one: closeConn(), two: closeConn(), want: "one"},
		"first reader refuses":         {one: respondReport(429, ""), two: respondReport(200, "2 2"), want: "two"},
		"invalid report":               {one: respondReport(200, "busy"), two: respondReport(200, "0 5"), want: "two"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			one, two := newTarget(t, "one", test.one), newTarget(t, "two", test.two)
			f := newForwarder(t, &fakeLeases{}, one, two)
			f.opts.EngineAPI = testOrders{}
			f.reportWait = time.Minute
			var readers []*spread.Target
			for _, id := range []string{"one", "two"} {
				other := map[string]string{"one": "two", "two": "one"}[id]
				readers = append(readers, f.targets.Choose(spread.Criteria{Service: "s", Exclude: map[string]bool{other: true}}, 0).Target)
			}
			if test.sent {
				readers[1].WaitingTokens = 20000
			}
			got, _ := f.leastBusyReader(context.Background(), spread.Choice{Target: readers[0], Dedicated: readers})
			if got.ID != test.want {
				t.Fatalf("chose %s, want %s", got.ID, test.want)
			}
		})
	}
}
