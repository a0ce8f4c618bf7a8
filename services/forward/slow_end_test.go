// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a whole answer that is held, and lost at the call's deadline, while its target slowly reads on.
func TestWholeAnswerOfASlowReaderIsNotLost(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	f := newForwarder(t, &fakeLeases{}, earlyTarget(t, "one", func(conn *net.TCPConn, id string) {
		_, _ = io.WriteString(conn, head(id, "\r\nanswer"))
		_ = conn.CloseWrite()
		part, ticker := make([]byte, 64<<10), time.NewTicker(20*time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			if _, err := conn.Read(part); err != nil {
				return
			}
		}
	}))
	call, sink := newCall("unsafe"), &collector{}
	call.Body, call.MaxWait = make([]byte, 64<<20), 5*time.Second
	if err := f.Serve(context.Background(), call, sink); err != nil || !sink.ended || sink.body.String() != "answer" {
		t.Fatalf("Serve returned %v, ended %v: %q", err, sink.ended, sink.body.String())
	}
}
