// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway

import (
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
	"havenwinch.dev/havenwinch/modules/http1"
	"havenwinch.dev/havenwinch/modules/reply"
	"havenwinch.dev/havenwinch/services/forward"
	"havenwinch.dev/havenwinch/structs"
)

// statuses are the HTTP statuses of refusals. Those of 408, 421, 429 and 503
// promise that the call has not run.
var statuses = map[structs.Kind]int{
	structs.KindNotReady:          http.StatusServiceUnavailable,
	structs.KindNotFound:          http.StatusNotFound,
	structs.KindWrongKey:          http.StatusUnauthorized,
	structs.KindMalformed:         http.StatusBadRequest,
	structs.KindTooLarge:          http.StatusRequestEntityTooLarge,
	structs.KindBudgetExhausted:   http.StatusPaymentRequired,
	structs.KindBudgetUnreachable: http.StatusServiceUnavailable,
	structs.KindNoTarget:          http.StatusServiceUnavailable,
	structs.KindOverloaded:        http.StatusTooManyRequests,
	structs.KindDeadlinePast:      http.StatusServiceUnavailable,
	structs.KindDeadline:          http.StatusGatewayTimeout,
	structs.KindQuarantined:       http.StatusServiceUnavailable,
	structs.KindTargetFailed:      http.StatusBadGateway,
}

// refuse answers with a refusal.
func (ss *session) refuse(a *reply.Answer, h *fasthttp.RequestHeader, r *forward.Refusal) error {
	field, id := ss.s.opts.Translator.RequestID(h)
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
	return a.Whole(statuses[r.Kind], fields, body)
}

func malformed(err error) *forward.Refusal {
	return &forward.Refusal{Kind: structs.KindMalformed, Run: structs.RunNo, Message: err.Error()}
}

// badHeader answers a request whose head can't be read; nothing of it was
// passed on, and the connection ends.
func (ss *session) badHeader(err error) bool {
	switch {
	case err == io.EOF:
		return false
	case http1.IsErrTooLong(err):
		ss.plain(http.StatusRequestHeaderFieldsTooLarge, err.Error())
	case http1.IsErrHead(err):
		ss.plain(http.StatusBadRequest, err.Error()+": send a request line and fields of HTTP/1.1")
	default:
		ss.plain(http.StatusBadRequest, "the head of the request can't be read: send a request line and fields of HTTP/1.1 in time")
	}
	return false
}

// plain answers a request that can't be read; the connection ends.
func (ss *session) plain(status int, message string) {
	ss.last = true
	// A caller that doesn't take it has left.
	_ = ss.replies.Next(http.MethodGet).Whole(status, []reply.Field{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}}, []byte(message))
}

// readBody reads the whole body of a request.
func (ss *session) readBody(a *reply.Answer, h *fasthttp.RequestHeader, limits *statev1.CallerLimits) ([]byte, *forward.Refusal) {
	most := int64(limits.GetMaxBodyBytes())
	length := h.ContentLength()
	if int64(length) > most {
		return nil, tooLarge(most)
	}
	if length == 0 || length == -2 {
		return nil, nil
	}
	if string(h.Peek("Expect")) != "" {
		if err := a.Continue(); err != nil {
			return nil, malformed(errors.New("the body was not sent: wait for 100 Continue and send it"))
		}
	}
	_ = ss.conn.SetReadDeadline(time.Now().Add(bodyTime))
	if length > 0 {
		body := make([]byte, length)
		if _, err := io.ReadFull(ss.reader, body); err != nil {
			return nil, malformed(errors.New("the body ended early: send as many bytes as its length says"))
		}
		return body, nil
	}
	return ss.readChunks(most)
}

func (ss *session) readChunks(most int64) ([]byte, *forward.Refusal) {
	body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(ss.reader), most+1))
	if err != nil {
		return nil, malformed(errors.New("the chunks of the body can't be read: end each with its length and the body with an empty one"))
	}
	if int64(len(body)) > most {
		return nil, tooLarge(most)
	}
	// The library leaves the trailer; only an empty one is taken.
	if end, err := ss.reader.Peek(2); err == nil && string(end) == "\r\n" {
		_, _ = ss.reader.Discard(2)
		return body, nil
	}
	return nil, malformed(errors.New("fields after the body are not taken: send them before it"))
}

func tooLarge(most int64) *forward.Refusal {
	return &forward.Refusal{Kind: structs.KindTooLarge, Run: structs.RunNo, Message: "the body is longer than " + strconv.FormatInt(most, 10) + " bytes: send a shorter one"}
}
