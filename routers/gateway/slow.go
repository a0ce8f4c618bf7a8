// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"havenwinch.dev/havenwinch/modules/bytebudget"
	"havenwinch.dev/havenwinch/modules/steady"
	"havenwinch.dev/havenwinch/services/forward"
	"havenwinch.dev/havenwinch/structs"
)

// dropUnread is called when the caller has read nothing for a while. What the kernel holds for it is
// dropped with the connection.
func (c *connection) dropUnread(left int) {
	if tcp := steady.TCPConn(c.conn); tcp != nil {
		_ = tcp.SetLinger(0)
	}
	c.server.opts.Logger.Warn("caller does not read", "request", c.call, "bytes_left", left, "caller", c.conn.RemoteAddr().String(), "limit_ms", c.server.opts.WriteTimeout.Milliseconds())
}

// lingerClose ends the sending side of the connection, and drops what the caller still sends until it has
// had time to read the answer.
func (c *connection) lingerClose() {
	tcp := steady.TCPConn(c.conn)
	if tcp == nil || tcp.CloseWrite() != nil {
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.reader, lingerBytes))
}

// refuseForMemory returns the refusal of a request whose body of n bytes the box has no memory for.
func (c *connection) refuseForMemory(h *fasthttp.RequestHeader, held *bytebudget.Hold, n int) *forward.Refusal {
	_, id := c.server.opts.Translator.RequestID(h)
	c.server.opts.Logger.Warn("request refused", "request", id, "outcome", structs.KindBoxOverloaded, "reason", "no memory for its body", "body_bytes", n, "read", held.Size(), "held_bytes", held.Budget.Held())
	return &forward.Refusal{Kind: structs.KindBoxOverloaded, Run: structs.RunNo, RetryAfter: forward.RetryElsewhere(), Message: "this box holds too many bodies: ask again over a new connection after the stated time"}
}

// readWithin reads r to its end, of at most maxBytes bytes, as far as there is room for it. roomy is false
// if there is none.
func readWithin(r io.Reader, maxBytes int64, held *bytebudget.Hold) (body []byte, roomy bool, err error) {
	r = io.LimitReader(r, maxBytes)
	for {
		if size := cap(body); len(body) == size {
			more := max(minBodyBuffer, size)
			if !held.GrowShared(more) {
				return body, false, nil
			}
			body = append(make([]byte, 0, size+more), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			return body, true, err
		}
	}
}

// minBodyBuffer is the size of the first buffer for a chunked body, in bytes.
const minBodyBuffer = 512
