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

// One dedicated target got all long prompts for 12 s while each was queued for more than 4 s,
// because boxes that were cut off from control did not know the load of the others; eleven
// other targets prefilled none.
func TestBusyDedicatedTargetsAreBypassed(t *testing.T) {
	affinity, dedicated := &spread.Target{ID: "affinity"}, &spread.Target{ID: "dedicated"}
	tests := map[string]struct {
		affinity    *spread.Target
		load        int
		want        string
		isDedicated bool
	}{
		"idle":                 {affinity: affinity, want: "dedicated", isDedicated: true},
		"one prompt queued":    {affinity: affinity, load: 1, want: "dedicated", isDedicated: true},
		"two prompts queued":   {affinity: affinity, load: 2, want: "affinity"},
		"busy, no alternative": {load: 5, want: "dedicated", isDedicated: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := chooseDedicated(spread.Choice{Target: dedicated, AffinityTarget: test.affinity, IsDedicated: true}, dedicated, test.load)
			if c.Target.ID != test.want || c.IsDedicated != test.isDedicated {
				t.Fatalf("%s, dedicated %v", c.Target.ID, c.IsDedicated)
			}
		})
	}
}

func TestLeastBusyDedicatedTarget(t *testing.T) {
	tests := map[string]struct {
		// one is the dedicated target that was chosen before the reports.
		one, two script
		// sent is set when the box has a prompt of its own queued at two.
		sent bool
		want string
	}{
		"other target less busy":       {one: respondReport(200, "0 1"), two: respondReport(200, "0 0"), want: "two"},
		"other target has a queue":     {one: respondReport(200, "0 1"), two: respondReport(200, "3 0"), want: "one"},
		"equally busy":                 {one: respondReport(200, "0 1"), two: respondReport(200, "1 0"), want: "one"},
		"prompt of this box in flight": {one: respondReport(200, "0 0"), two: respondReport(200, "0 0"), sent: true, want: "one"},
		"no report from the first":     {one: closeConn(), two: respondReport(200, "0 1"), want: "two"},
		"no reports":                   {one: closeConn(), two: closeConn(), want: "one"},
		"first target refuses":         {one: respondReport(429, ""), two: respondReport(200, "2 2"), want: "two"},
		"invalid report":               {one: respondReport(200, "busy"), two: respondReport(200, "0 5"), want: "two"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			one, two := newTarget(t, "one", test.one), newTarget(t, "two", test.two)
			f := newForwarder(t, &fakeLeases{}, one, two)
			f.opts.EngineAPI = testEngineAPI{}
			f.reportWait = time.Minute
			var dedicated []*spread.Target
			for _, id := range []string{"one", "two"} {
				other := map[string]string{"one": "two", "two": "one"}[id]
				dedicated = append(dedicated, f.targets.Choose(spread.Criteria{Service: "s", Exclude: map[string]bool{other: true}}, 0).Target)
			}
			if test.sent {
				dedicated[1].WaitingTokens = 20000
			}
			got, _ := f.leastBusyDedicated(context.Background(), spread.Choice{Target: dedicated[0], Dedicated: dedicated})
			if got.ID != test.want {
				t.Fatalf("chose %s, want %s", got.ID, test.want)
			}
		})
	}
}
