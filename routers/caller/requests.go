// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package caller

import (
	"bufio"
	"net/url"
	"slices"
	"strconv"

	"github.com/valyala/fasthttp"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/modules/digest"
	"havenwinch.dev/havenwinch/services/dispatch"
	"havenwinch.dev/havenwinch/services/engine"
	"havenwinch.dev/havenwinch/structs"
)

// models serves GET /v1/models.
func (c *Caller) models(x *exchange) {
	list := structs.ModelList{Object: "list", Data: []structs.Model{}}
	for _, m := range x.group.GetModels() {
		list.Data = append(list.Data, structs.Model{ID: m, Object: "model", OwnedBy: "havenwinch"})
	}
	writeJSON(x.ctx, fasthttp.StatusOK, list)
}

// findRecord returns the record of the request whose key is in the path.
func (c *Caller) findRecord(x *exchange) (*statev1.RequestRecord, *dispatch.Refusal) {
	key, err := url.PathUnescape(x.ctx.UserValue("key").(string))
	if err != nil {
		return nil, invalidField("key", "is no valid path segment: encode it")
	}
	// The router's value points into a buffer that fasthttp reuses.
	return c.opts.Dispatcher.Find(c.opts.Work, x.group, string([]byte(key)))
}

// stateNames are the names of the record states in the API.
var stateNames = map[statev1.RequestState]string{
	statev1.RequestState_REQUEST_STATE_RESERVED: "reserved",
	statev1.RequestState_REQUEST_STATE_STARTED:  "started",
	statev1.RequestState_REQUEST_STATE_DONE:     "done",
	statev1.RequestState_REQUEST_STATE_RELEASED: "released",
	statev1.RequestState_REQUEST_STATE_VOIDED:   "voided",
}

// runOf returns what a record proves about whether the request ran.
func runOf(r *statev1.RequestRecord) structs.Run {
	if r.GetUncertain() {
		return structs.RunUnknown
	}
	switch r.GetState() {
	case statev1.RequestState_REQUEST_STATE_RESERVED, statev1.RequestState_REQUEST_STATE_RELEASED:
		return structs.RunNo
	case statev1.RequestState_REQUEST_STATE_STARTED:
		return structs.RunUnknown
	default:
		return structs.RunYes
	}
}

// status serves GET /v1/requests/{key}.
func (c *Caller) status(x *exchange) {
	r, refusal := c.findRecord(x)
	if refusal != nil {
		c.refuse(x, refusal)
		return
	}
	status := structs.RequestStatus{
		Key:        r.GetKey(),
		State:      stateNames[r.GetState()],
		Run:        runOf(r),
		Billed:     r.GetBilled(),
		WrittenOff: r.GetWrittenOff(),
		Target:     r.GetTarget(),
		Model:      r.GetModel(),
	}
	if r.GetState() == statev1.RequestState_REQUEST_STATE_RESERVED || r.GetState() == statev1.RequestState_REQUEST_STATE_STARTED {
		status.Reserved = r.GetBound()
	}
	if r.GetRuns() > 0 && r.GetModel() != "" {
		status.AnswerAt = "/v1/requests/" + url.PathEscape(r.GetKey()) + "/answer"
	}
	writeJSON(x.ctx, fasthttp.StatusOK, status)
}

// answer serves GET /v1/requests/{key}/answer, starting after the event that
// Last-Event-ID names.
func (c *Caller) answer(x *exchange) {
	after := 0
	if header := string(x.ctx.Request.Header.Peek("Last-Event-ID")); header != "" {
		n, err := strconv.Atoi(header)
		if err != nil || n < 0 {
			c.refuse(x, invalidField("Last-Event-ID", "must be the id of the last event that arrived"))
			return
		}
		after = n
	}
	record, refusal := c.findRecord(x)
	if refusal != nil {
		c.refuse(x, refusal)
		return
	}
	stream, refusal := c.opts.Dispatcher.Answer(c.opts.Work, record, after)
	if refusal != nil {
		c.refuse(x, refusal)
		return
	}
	c.streamStored(x, record, stream, after)
}

// streamStored streams a stored answer to a caller that already has the events up
// to after.
func (c *Caller) streamStored(x *exchange, record *statev1.RequestRecord, stream *engine.Stream, after int) {
	id, organisation := x.id, x.organisation
	c.stream(x.ctx, func(w *bufio.Writer) error {
		defer stream.Close()
		sink := &streamSink{w: w, hasSent: after > 0}
		var result dispatch.Result
		for {
			e, err := stream.Next()
			if err != nil {
				c.recordOutcome(id, organisation, string(structs.KindAnswerTruncated))
				return sink.refuse(errorBody(id, &dispatch.Refusal{Kind: structs.KindAnswerTruncated, Run: structs.RunYes, Message: "the answer broke off: ask again from the last event id that arrived"}))
			}
			if e.End {
				break
			}
			if e.Usage != nil {
				result.Usage = e.Usage
			}
			if err := sink.Event(e); err != nil {
				return err
			}
		}
		if result.Usage == nil {
			result.Usage = &engine.Usage{}
		}
		result.Replayed, result.Billed = true, min(result.Usage.Total(), record.GetBound())
		c.recordOutcome(id, organisation, "done")
		return sink.end(id, record.GetModel(), result)
	})
}

// cancel serves DELETE /v1/requests/{key}.
func (c *Caller) cancel(x *exchange) {
	record, refusal := c.findRecord(x)
	if refusal == nil && record.GetState() == statev1.RequestState_REQUEST_STATE_STARTED {
		refusal = c.opts.Dispatcher.Cancel(c.opts.Work, record)
	}
	if refusal != nil {
		c.refuse(x, refusal)
		return
	}
	x.ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// service serves calls of plain services below /services/{service}/.
func (c *Caller) service(x *exchange) {
	r, refusal := c.parseService(x)
	if refusal != nil {
		c.refuse(x, refusal)
		return
	}
	c.opts.Recorder.Record("arrived", x.id, "service "+r.Service)
	answer, refusal := c.opts.Dispatcher.ServeService(c.opts.Work, r)
	if refusal != nil {
		c.refuse(x, refusal)
		return
	}
	c.recordOutcome(x.id, x.organisation, "done")
	x.ctx.SetStatusCode(answer.Code)
	x.ctx.SetContentType(answer.ContentType)
	x.ctx.SetBodyStream(answer.Body, answer.Length)
}

func (c *Caller) parseService(x *exchange) (*dispatch.ServiceRequest, *dispatch.Refusal) {
	method := string(x.ctx.Method())
	r := &dispatch.Request{Repeatable: isIdempotentMethod(method)}
	if refusal := c.parseHeaders(x, r); refusal != nil {
		return nil, refusal
	}
	service := string([]byte(x.ctx.UserValue("service").(string)))
	if !slices.Contains(x.group.GetServices(), service) {
		return nil, &dispatch.Refusal{Kind: structs.KindServiceNotAllowed, Run: structs.RunNo, Message: "this group may not call service " + strconv.Quote(service) + ": ask an operator to allow it"}
	}
	path := "/" + string([]byte(x.ctx.UserValue("path").(string)))
	if query := string(x.ctx.URI().QueryString()); query != "" {
		path += "?" + query
	}
	body, refusal := c.readBody(x)
	if refusal != nil {
		return nil, refusal
	}
	r.Digest = digest.Of([]byte(method), []byte(path), body)
	return &dispatch.ServiceRequest{
		Request: r,
		Service: service,
		Call:    engine.ServiceCall{Method: method, Path: path, ContentType: string(x.ctx.Request.Header.ContentType()), ID: x.id, Body: body},
	}, nil
}

// isIdempotentMethod reports whether a method is idempotent by RFC 9110.
func isIdempotentMethod(method string) bool {
	switch method {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodPut, fasthttp.MethodDelete, fasthttp.MethodOptions:
		return true
	default:
		return false
	}
}
