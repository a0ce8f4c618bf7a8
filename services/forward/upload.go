// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"net"
	"time"

	"havenwinch.dev/havenwinch/models/spread"
	"havenwinch.dev/havenwinch/modules/steady"
	"havenwinch.dev/havenwinch/services/overload"
)

const (
	// uploadStall is how long the write of a body may make no progress before its target counts as one
	// that does not read.
	uploadStall = 2 * time.Second
	// uploadPart is the size of the parts of a body, in bytes, after each of which a target that does not
	// read counts as reading again.
	uploadPart = 64 << 10
)

// writeBody writes a long body. It waits for a target that does not read until the connection is closed.
func (x *exchange) writeBody(ctx context.Context) error {
	c, body := x.conn, x.call.Body
	pace, cancel := context.WithTimeout(ctx, overload.MaxPace)
	defer cancel()
	tcp, ok := c.net.(*net.TCPConn)
	if !ok {
		return x.writeParts(pace, body)
	}
	stalled, rest := false, len(body)
	w := &steady.Writer{Conn: tcp, Timeout: x.f.uploadStall, Unsent: func() int { return steady.Unsent(tcp) }, OnStall: func(left int) bool {
		if !stalled && !x.f.opts.IsCongested() {
			x.f.opts.Logger.Warn("target does not read", "request", x.call.ID, "target", c.target.ID, "bytes_left", rest+left, "body_bytes", len(x.call.Body))
			x.f.recordUploadStall(c.target, stalled, true)
			stalled = true
		}
		return true
	}}
	defer func() {
		x.f.recordUploadStall(c.target, stalled, false)
		_ = tcp.SetWriteDeadline(time.Time{})
	}()
	for len(body) > 0 {
		part := x.nextPart(pace, body)
		rest = len(body) - len(part)
		n, err := w.Write(part)
		c.meter.AddSent(n)
		if err != nil {
			return err
		}
		x.f.recordUploadStall(c.target, stalled, false)
		stalled, body = false, body[len(part):]
	}
	return nil
}

// recordUploadStall counts the stalled writes of bodies to a target as one of them begins or ends to stall.
func (f *Forwarder) recordUploadStall(t *spread.Target, was, is bool) {
	if was == is {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case is:
		f.uploadStalls[t]++
	case f.uploadStalls[t] == 1:
		delete(f.uploadStalls, t)
	default:
		f.uploadStalls[t]--
	}
}

// slowReaders returns the starts of targets that do not read what they are sent, for a long body: bodies
// that a target does not read add to what it has to hold. The caller holds f.mu.
func (f *Forwarder) slowReaders(bodyBytes int) map[string]bool {
	if bodyBytes <= windowBody || len(f.uploadStalls) == 0 {
		return nil
	}
	starts := make(map[string]bool, len(f.uploadStalls))
	for t := range f.uploadStalls {
		starts[t.StartIdentity()] = true
	}
	return starts
}
