// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// stallOfTarget is how long a target is silent in the middle of a stream.
const stallOfTarget = 300 * time.Millisecond

// Guards against a stream that is cut off for the silence of its target although it can go on nowhere else.
func TestSilenceCutsNoStreamThatCannotGoOnElsewhere(t *testing.T) {
	whole := event(0) + event(1) + event(2)
	cases := map[string]struct {
		// versions are those of the targets; only "a" begins streams.
		versions map[string]string
		// report is what the target answers to a query of its start, nil where it isn't asked.
		report script
	}{
		"another target has its version": {versions: map[string]string{"a": "v1", "b": "v1"}},
		"another version":                {versions: map[string]string{"a": "v1", "b": "v2"}},
		"the version is not known":       {versions: map[string]string{"a": "", "b": ""}},
		"the only target":                {versions: map[string]string{"a": "v1"}},
		"the start is not known":         {versions: map[string]string{"a": "v1", "b": "v1"}, report: closeConn()},
		"its start is never told":        {versions: map[string]string{"a": "v1", "b": "v1"}, report: func(net.Conn, received) { select {} }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			silent := func(conn net.Conn, r received) {
				if r.path == "/report" {
					c.report(conn, r)
					return
				}
				chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
				_, _ = io.WriteString(conn, head(r.id, "Transfer-Encoding: chunked\r\n\r\n")+chunk(event(0)))
				time.Sleep(stallOfTarget)
				_, _ = io.WriteString(conn, chunk(event(1))+chunk(event(2))+"0\r\n\r\n")
			}
			goesOn := func(conn net.Conn, r received) {
				if r.path == "/report" {
					respond(200, "0 0 10")(conn, r)
					return
				}
				chunks(true, event(1), event(2))(conn, r)
			}
			f := newForwarder(t, &fakeLeases{}, newTarget(t, "a", silent, silent, silent), newTarget(t, "b", goesOn, goesOn))
			if c.report != nil {
				f.opts.EngineAPI = testEngineAPI{}
				starts(f, c.versions, 10)
			} else {
				setVersions(f, c.versions)
			}
			f.stallWait, f.silentWait = stallOfTarget/10, stallOfTarget/10
			got := &collector{}
			err := f.Serve(context.Background(), newCall("resume"), got)
			if got.body.String() != whole || !got.ended {
				t.Errorf("got %q, ended %v, %v; want the whole stream", got.body.String(), got.ended, err)
			}
		})
	}
}
