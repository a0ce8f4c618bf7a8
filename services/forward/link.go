// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"math/rand"
	"time"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/services/overload"
)

// Link is the network link of this box.
type Link interface {
	// AwaitWrite waits until the link has room to send a part of a long body, or the context is
	// done.
	AwaitWrite(ctx context.Context)
	// RetryAfter returns when a caller that is refused because of the link may come back.
	RetryAfter() time.Duration
}

// retryElsewhere returns the Retry-After time of a call that is refused because of this box's own link.
func (f *Forwarder) retryElsewhere() time.Duration {
	if f.opts.Link != nil {
		return f.opts.Link.RetryAfter()
	}
	return RetryElsewhere()
}

// RetryElsewhere returns the Retry-After time, 20 to 60 ms at random, of a call that this box can't take and
// another box can take at once.
func RetryElsewhere() time.Duration {
	return retryElsewhereMin + time.Duration(rand.Int63n(int64(retryElsewhereMax-retryElsewhereMin)+1))
}

// writeCall writes the head and the body of a call. A long body is written in parts, as the link has
// room.
func (x *exchange) writeCall(ctx context.Context, head []byte) error {
	body := x.call.Body
	link := x.f.opts.Link
	if link == nil || len(body) <= overload.LongBody {
		_, err := x.conn.Write(append(head, body...))
		return errors.WithStack(err)
	}
	if _, err := x.conn.Write(append(head, body[:overload.BodyPart]...)); err != nil {
		return errors.WithStack(err)
	}
	pace, cancel := context.WithTimeout(ctx, overload.MaxPace)
	defer cancel()
	return x.writeParts(pace, body[overload.BodyPart:])
}

// writeParts writes bytes of a body in parts, as the link has room. It does not wait any more once pace
// is done.
func (x *exchange) writeParts(pace context.Context, body []byte) error {
	for len(body) > 0 {
		part := x.nextPart(pace, body)
		n, err := x.conn.Write(part)
		if x.upload != nil {
			x.upload.written.Add(int64(n))
		}
		if err != nil {
			return errors.WithStack(err)
		}
		body = body[len(part):]
	}
	return nil
}

// nextPart waits until the link has room for the next part of a long body, and returns it.
func (x *exchange) nextPart(pace context.Context, body []byte) []byte {
	if x.f.opts.Link == nil {
		return body[:min(len(body), uploadPart)]
	}
	x.f.opts.Link.AwaitWrite(pace)
	x.conn.pacedAt.Store(int64(x.f.opts.Clock.Boot()))
	return body[:min(len(body), overload.BodyPart)]
}
