// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"log/slog"
	"sync/atomic"
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

// upload is the write of a long body.
type upload struct {
	// written counts the bytes that the kernel has taken.
	written atomic.Int64
	// done is closed when the write has ended; err is what it failed with, to be read after that.
	done chan struct{}
	err  error
}

// startUpload writes a long body beside the read of the answer.
func (x *exchange) startUpload(ctx context.Context) {
	u := &upload{done: make(chan struct{})}
	x.upload = u
	go func() {
		defer close(u.done)
		if u.err = x.writeBody(ctx); u.err != nil && ctx.Err() == nil {
			x.f.opts.Logger.Info("target broke off the request", "request", x.call.ID, "target", x.conn.target.ID, "body_written", u.written.Load(), "body_bytes", len(x.call.Body), "reason", u.err.Error())
		}
	}()
}

// isUploaded reports whether the whole body of the call has been written.
func (x *exchange) isUploaded() bool {
	return x.upload == nil || wasClosed(x.upload.done) && x.upload.err == nil
}

// uploaded returns how many bytes of a long body have been written, and whether the whole body has.
func (x *exchange) uploaded() (bytes int64, all bool) {
	if x.upload == nil {
		return 0, true
	}
	return x.upload.written.Load(), x.isUploaded()
}

// uploadAttrs returns how far a long body has been written, for the log.
func (x *exchange) uploadAttrs() []slog.Attr {
	if x.upload == nil {
		return nil
	}
	attrs := []slog.Attr{slog.Int64("body_written", x.upload.written.Load()), slog.Int("body_bytes", len(x.call.Body))}
	if wasClosed(x.upload.done) && x.upload.err != nil {
		attrs = append(attrs, slog.String("body_ended_by", x.upload.err.Error()))
	}
	return attrs
}

// writeBody writes a long body. It waits for a target that does not read until the connection is closed.
func (x *exchange) writeBody(ctx context.Context) error {
	c, body := x.conn, x.call.Body
	pace, cancel := context.WithTimeout(ctx, overload.MaxPace)
	defer cancel()
	tcp := steady.TCPConn(c.net)
	if tcp == nil {
		return x.writeParts(pace, body)
	}
	stalled, rest := false, len(body)
	w := &steady.Writer{Conn: c.net, Timeout: x.f.uploadStall, Unsent: func() int { return steady.Unsent(tcp) }, OnStall: func(left int) bool {
		if !stalled && !x.f.opts.IsCongested() {
			x.f.opts.Logger.Warn("target does not read", "request", x.call.ID, "target", c.target.ID, "bytes_left", rest+left, "body_bytes", len(x.call.Body))
			x.f.recordUploadStall(c.target, stalled, true)
			stalled = true
		}
		return true
	}}
	defer func() {
		x.f.recordUploadStall(c.target, stalled, false)
		_ = c.net.SetWriteDeadline(time.Time{})
	}()
	for len(body) > 0 {
		part := x.nextPart(pace, body)
		rest = len(body) - len(part)
		n, err := w.Write(part)
		c.meter.AddSent(n)
		x.upload.written.Add(int64(n))
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
