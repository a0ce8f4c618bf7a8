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
func (c *Caller) models(s *session) {
	list := structs.ModelList{Object: "list", Data: []structs.Model{}}
	for _, m := range s.group.GetModels() {
		list.Data = append(list.Data, structs.Model{ID: m, Object: "model", OwnedBy: "havenwinch"})
	}
	writeJSON(s.ctx, fasthttp.StatusOK, list)
}

// find returns the record that a path names.
func (c *Caller) find(s *session) (*statev1.RequestRecord, *dispatch.Refusal) {
	key, err := url.PathUnescape(s.ctx.UserValue("key").(string))
	if err != nil {
		return nil, badField("key", "is no valid path segment: encode it")
	}
	// The router's value points into buffers that are used again.
	return c.opts.Dispatcher.Find(c.opts.Work, s.group, string([]byte(key)))
}

// stateNames are the words for a record's state.
var stateNames = map[statev1.RequestState]string{
	statev1.RequestState_REQUEST_STATE_RESERVED: "reserved",
	statev1.RequestState_REQUEST_STATE_STARTED:  "started",
	statev1.RequestState_REQUEST_STATE_DONE:     "done",
	statev1.RequestState_REQUEST_STATE_RELEASED: "released",
	statev1.RequestState_REQUEST_STATE_VOIDED:   "voided",
}

// runOf says what a record proves about a run.
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
func (c *Caller) status(s *session) {
	r, refusal := c.find(s)
	if refusal != nil {
		c.refuse(s, refusal)
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
	writeJSON(s.ctx, fasthttp.StatusOK, status)
}

// answer serves GET /v1/requests/{key}/answer from after Last-Event-ID on.
func (c *Caller) answer(s *session) {
	after := 0
	if header := string(s.ctx.Request.Header.Peek("Last-Event-ID")); header != "" {
		n, err := strconv.Atoi(header)
		if err != nil || n < 0 {
			c.refuse(s, badField("Last-Event-ID", "must be the id of the last event that arrived"))
			return
		}
		after = n
	}
	record, refusal := c.find(s)
	if refusal != nil {
		c.refuse(s, refusal)
		return
	}
	stream, refusal := c.opts.Dispatcher.Answer(c.opts.Work, record, after)
	if refusal != nil {
		c.refuse(s, refusal)
		return
	}
	c.forward(s, record, stream, after)
}

// forward hands on a kept answer, of which the caller has the events up to after.
func (c *Caller) forward(s *session, record *statev1.RequestRecord, stream *engine.Stream, after int) {
	id, organisation := s.id, s.organisation
	c.stream(s.ctx, func(w *bufio.Writer) error {
		defer stream.Close()
		sink := &streamSink{w: w, begun: after > 0}
		var result dispatch.Result
		for {
			e, err := stream.Next()
			if err != nil {
				c.ended(id, organisation, string(structs.KindTruncated))
				return sink.refuse(errorBody(id, &dispatch.Refusal{Kind: structs.KindTruncated, Run: structs.RunYes, Message: "the answer broke off: ask again from the last event id that arrived"}))
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
		c.ended(id, organisation, "done")
		return sink.end(id, record.GetModel(), result)
	})
}

// cancel serves DELETE /v1/requests/{key}.
func (c *Caller) cancel(s *session) {
	record, refusal := c.find(s)
	if refusal == nil && record.GetState() == statev1.RequestState_REQUEST_STATE_STARTED {
		refusal = c.opts.Dispatcher.Cancel(c.opts.Work, record)
	}
	if refusal != nil {
		c.refuse(s, refusal)
		return
	}
	s.ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// service serves plain services under /services/{service}/.
func (c *Caller) service(s *session) {
	r, refusal := c.parseService(s)
	if refusal != nil {
		c.refuse(s, refusal)
		return
	}
	c.opts.Recorder.Record("arrived", s.id, "service "+r.Service)
	answer, refusal := c.opts.Dispatcher.ServeService(c.opts.Work, r)
	if refusal != nil {
		c.refuse(s, refusal)
		return
	}
	c.ended(s.id, s.organisation, "done")
	s.ctx.SetStatusCode(answer.Code)
	s.ctx.SetContentType(answer.ContentType)
	s.ctx.SetBody(answer.Body)
}

func (c *Caller) parseService(s *session) (*dispatch.ServiceRequest, *dispatch.Refusal) {
	method := string(s.ctx.Method())
	r := &dispatch.Request{Repeatable: repeatableMethod(method)}
	if refusal := c.parseHeaders(s, r); refusal != nil {
		return nil, refusal
	}
	service := string([]byte(s.ctx.UserValue("service").(string)))
	if !slices.Contains(s.group.GetServices(), service) {
		return nil, &dispatch.Refusal{Kind: structs.KindServiceNotAllowed, Run: structs.RunNo, Message: "this group may not call service " + strconv.Quote(service) + ": ask an operator to allow it"}
	}
	path := "/" + string([]byte(s.ctx.UserValue("path").(string)))
	if query := string(s.ctx.URI().QueryString()); query != "" {
		path += "?" + query
	}
	body, refusal := c.readBody(s)
	if refusal != nil {
		return nil, refusal
	}
	r.Digest = digest.Of([]byte(method), []byte(path), body)
	return &dispatch.ServiceRequest{
		Request: r,
		Service: service,
		Call:    engine.ServiceCall{Method: method, Path: path, ContentType: string(s.ctx.Request.Header.ContentType()), ID: s.id, Body: body},
	}, nil
}

// repeatableMethod tells whether HTTP calls a method idempotent (RFC 9110).
func repeatableMethod(method string) bool {
	switch method {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodPut, fasthttp.MethodDelete, fasthttp.MethodOptions:
		return true
	default:
		return false
	}
}
