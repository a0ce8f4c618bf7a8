// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/modules/bytebudget"
	"havenwinch.dev/havenwinch/modules/http1"
	"havenwinch.dev/havenwinch/modules/reply"
	"havenwinch.dev/havenwinch/services/forward"
	"havenwinch.dev/havenwinch/services/overload"
	"havenwinch.dev/havenwinch/structs"
)

// statusOf maps the kind of a refusal to its HTTP status. 408, 421, 429 and 503
// guarantee that the call has not run.
var statusOf = map[structs.Kind]int{
	structs.KindNotReady:            http.StatusServiceUnavailable,
	structs.KindStopping:            http.StatusServiceUnavailable,
	structs.KindNotFound:            http.StatusNotFound,
	structs.KindWrongKey:            http.StatusUnauthorized,
	structs.KindMalformed:           http.StatusBadRequest,
	structs.KindTooLarge:            http.StatusRequestEntityTooLarge,
	structs.KindBudgetExhausted:     http.StatusPaymentRequired,
	structs.KindBudgetUnreachable:   http.StatusServiceUnavailable,
	structs.KindNoTarget:            http.StatusServiceUnavailable,
	structs.KindVersionUnknown:      http.StatusServiceUnavailable,
	structs.KindVersionGone:         http.StatusServiceUnavailable,
	structs.KindOverloaded:          http.StatusTooManyRequests,
	structs.KindBoxOverloaded:       http.StatusServiceUnavailable,
	structs.KindDeadlinePast:        http.StatusServiceUnavailable,
	structs.KindDeadlineCannotBeMet: http.StatusGatewayTimeout,
	structs.KindQuarantined:         http.StatusServiceUnavailable,
	structs.KindTargetFailed:        http.StatusBadGateway,
}

// writeRefusal writes a refusal as the whole answer.
func (c *connection) writeRefusal(a *reply.Answer, h *fasthttp.RequestHeader, r *forward.Refusal) error {
	field, id := c.server.opts.Translator.RequestID(h)
	body, err := json.Marshal(structs.ErrorBody{Error: structs.Error{Kind: r.Kind, Message: r.Message, Run: r.Run, RequestID: id, RetryAfter: r.RetryAfter.Seconds()}})
	if err != nil {
		return errors.WithStack(err)
	}
	fields := make([]reply.Field, 0, 3)
	if id != "" {
		fields = append(fields, reply.Field{Name: field, Value: id})
	}
	if r.RetryAfter > 0 {
		fields = append(fields, reply.Field{Name: "Retry-After", Value: strconv.FormatFloat(math.Ceil(r.RetryAfter.Seconds()*100)/100, 'f', -1, 64)})
	}
	fields = append(fields, reply.Field{Name: "Content-Type", Value: "application/json"})
	return a.Send(statusOf[r.Kind], fields, body)
}

// refuseLate refuses a request whose turn came after the box had begun to stop. It returns false if the
// connection must be closed.
func (c *connection) refuseLate(a *reply.Answer, h *fasthttp.RequestHeader) bool {
	refusal := &forward.Refusal{Kind: structs.KindStopping, Run: structs.RunNo, RetryAfter: stoppingRetryAfter, Message: "this box is stopping: ask again over a new connection"}
	_, id := c.server.opts.Translator.RequestID(h)
	err := c.writeRefusal(a, h, refusal)
	c.server.opts.Logger.Warn("request refused", "request", id, "outcome", refusal.Kind, "reason", "its turn came after the stop had begun", "answered", err == nil)
	return err == nil && !c.closeAfter
}

// expectsContinue reports whether the caller sends the body only after 100 Continue.
func expectsContinue(h *fasthttp.RequestHeader) bool { return len(h.Peek("Expect")) > 0 }

// malformed returns the refusal of a request that can't be parsed.
func malformed(err error) *forward.Refusal {
	return &forward.Refusal{Kind: structs.KindMalformed, Run: structs.RunNo, Message: err.Error()}
}

// rejectHead answers a request whose head is invalid. Nothing of the request has
// been forwarded. It returns false: the connection must be closed.
func (c *connection) rejectHead(err error) bool {
	switch {
	case err == io.EOF:
		return false
	case http1.IsErrHeadTooLong(err):
		c.writeTextError(http.StatusRequestHeaderFieldsTooLarge, err.Error())
	case http1.IsErrMalformedHead(err):
		c.writeTextError(http.StatusBadRequest, err.Error()+": send a request line and fields of HTTP/1.1")
	default:
		c.writeTextError(http.StatusBadRequest, "the head of the request can't be read: send a request line and fields of HTTP/1.1 in time")
	}
	return false
}

// writeTextError answers a request that can't be parsed with an error in plain text
// and marks the connection for closing.
func (c *connection) writeTextError(status int, message string) {
	c.closeAfter = true
	// A write error means that the caller has disconnected.
	_ = c.writer.Next(http.MethodGet).Send(status, []reply.Field{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}}, []byte(message))
}

// readBody reads the whole body of a request, asking for it first if the caller
// sent Expect: 100-continue. A request without a body yields nil. One that held has no room for is
// refused, before it is read if its length is known.
func (c *connection) readBody(a *reply.Answer, h *fasthttp.RequestHeader, limits *statev1.CallerLimits, held *bytebudget.Hold) ([]byte, *forward.Refusal) {
	maxBytes := int64(limits.GetMaxBodyBytes())
	length := h.ContentLength()
	if int64(length) > maxBytes {
		return nil, tooLarge(maxBytes)
	}
	// fasthttp returns -2 when the request has neither a length nor a coding.
	if length == 0 || length == -2 {
		return nil, nil
	}
	if length > 0 && !held.GrowShared(length) {
		return nil, c.refuseForMemory(h, held, length)
	}
	if expectsContinue(h) {
		if err := a.Continue(); err != nil {
			return nil, malformed(errors.New("the body was not sent: wait for 100 Continue and send it"))
		}
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	if length > 0 {
		body := make([]byte, length)
		if err := c.readParts(body); err != nil {
			return nil, malformed(errors.New("the body ended early: send as many bytes as its length says"))
		}
		return body, nil
	}
	return c.readChunkedBody(h, maxBytes, held)
}

// readParts reads a body; a long one as the link has room. Bytes that have arrived already are read at
// once.
func (c *connection) readParts(body []byte) error {
	if c.server.opts.AwaitRead == nil || len(body) <= overload.LongBody {
		_, err := io.ReadFull(c.reader, body)
		return err
	}
	ctx, cancel := context.WithTimeout(c.server.opts.BaseContext, overload.MaxPace)
	defer cancel()
	for len(body) > 0 {
		n := min(len(body), overload.BodyPart)
		if c.reader.Buffered() < n {
			c.server.opts.AwaitRead(ctx)
		}
		if _, err := io.ReadFull(c.reader, body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// readChunkedBody reads a body in chunked encoding, of at most maxBytes bytes.
func (c *connection) readChunkedBody(h *fasthttp.RequestHeader, maxBytes int64, held *bytebudget.Hold) ([]byte, *forward.Refusal) {
	body, roomy, err := readWithin(httputil.NewChunkedReader(c.reader), maxBytes+1, held)
	if !roomy {
		return nil, c.refuseForMemory(h, held, len(body))
	}
	if err != nil {
		return nil, malformed(errors.New("the chunks of the body can't be read: end each with its length and the body with an empty one"))
	}
	if int64(len(body)) > maxBytes {
		return nil, tooLarge(maxBytes)
	}
	// The chunked reader leaves the trailer section unread; only an empty one is
	// accepted.
	if end, err := c.reader.Peek(2); err == nil && string(end) == "\r\n" {
		_, _ = c.reader.Discard(2)
		return body, nil
	}
	return nil, malformed(errors.New("fields after the body are not taken: send them before it"))
}

func tooLarge(maxBytes int64) *forward.Refusal {
	return &forward.Refusal{Kind: structs.KindTooLarge, Run: structs.RunNo, Message: "the body is longer than " + strconv.FormatInt(maxBytes, 10) + " bytes: send a shorter one"}
}
