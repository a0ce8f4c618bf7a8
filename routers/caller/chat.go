// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package caller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"havenwinch.dev/havenwinch/services/dispatch"
	"havenwinch.dev/havenwinch/services/engine"
	"havenwinch.dev/havenwinch/structs"
)

// chat serves POST /v1/chat/completions.
func (c *Caller) chat(s *session) {
	r, stream, refusal := c.parseChat(s)
	if refusal != nil {
		c.refuse(s, refusal)
		return
	}
	c.opts.Recorder.Record("arrived", s.id, fmt.Sprintf("group %s, model %s, up to %d tokens", s.group.GetName(), r.Model, r.Bound))
	a, refusal := c.opts.Dispatcher.Admit(c.opts.Work, r)
	if refusal != nil {
		c.refuse(s, refusal)
		return
	}
	if stream {
		c.streamed(s, a)
		return
	}
	c.whole(s, a, r)
}

// streamed answers with server-sent events.
func (c *Caller) streamed(s *session, a *dispatch.Admission) {
	id, organisation := s.id, s.organisation
	s.ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	c.stream(s.ctx, func(w *bufio.Writer) error {
		sink := &streamSink{w: w}
		result, refusal := c.opts.Dispatcher.Serve(c.opts.Work, a, sink)
		if refusal != nil {
			c.ended(id, organisation, string(refusal.Kind))
			return sink.refuse(errorBody(id, refusal))
		}
		c.ended(id, organisation, "done")
		return sink.end(id, a.Request.Model, result)
	})
}

func (c *Caller) ended(id, organisation, outcome string) {
	c.opts.Counter.Done(organisation, outcome)
	c.opts.Recorder.Record("answered", id, outcome)
	c.opts.Logger.Info("request ended", "request", id, "organisation", organisation, "outcome", outcome)
}

// streamSink writes events to a caller.
type streamSink struct {
	w *bufio.Writer
	// begun says that the caller has a part of the answer.
	begun bool
}

// KeepAlive implements dispatch.Sink with a comment, which clients skip.
func (k *streamSink) KeepAlive(note string) error {
	fmt.Fprintf(k.w, ": %s\n\n", note)
	return k.w.Flush()
}

// Event implements dispatch.Sink.
func (k *streamSink) Event(e engine.Event) error {
	if e.Usage != nil && e.Finish == "" {
		return nil
	}
	k.begun = true
	writeEvent(k.w, e.Sequence, e.Data)
	return k.w.Flush()
}

func writeEvent(w *bufio.Writer, sequence int, data []byte) {
	_, _ = w.WriteString("id: ")
	_, _ = w.WriteString(strconv.Itoa(sequence))
	_, _ = w.WriteString("\ndata: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
}

// billing is the last event of an answer, with what it cost.
type billing struct {
	Object     string          `json:"object"`
	Model      string          `json:"model"`
	Choices    []wholeChoice   `json:"choices"`
	Usage      structs.Usage   `json:"usage"`
	Havenwinch billingFraction `json:"havenwinch"`
}

type billingFraction struct {
	RequestID  string `json:"request_id"`
	Billed     uint64 `json:"billed"`
	WrittenOff uint64 `json:"written_off,omitempty"`
	Replayed   bool   `json:"replayed,omitempty"`
}

func billed(id string, result dispatch.Result) billingFraction {
	return billingFraction{RequestID: id, Billed: result.Billed, WrittenOff: result.WrittenOff, Replayed: result.Replayed}
}

func usageOf(u *engine.Usage) structs.Usage {
	return structs.Usage{PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens, TotalTokens: u.Total()}
}

func (k *streamSink) end(id, model string, result dispatch.Result) error {
	data, err := json.Marshal(billing{
		Object:     "chat.completion.chunk",
		Model:      model,
		Choices:    []wholeChoice{},
		Usage:      usageOf(result.Usage),
		Havenwinch: billed(id, result),
	})
	if err != nil {
		return errors.WithStack(err)
	}
	fmt.Fprintf(k.w, "data: %s\n\ndata: [DONE]\n\n", data)
	return k.w.Flush()
}

// refuse ends a stream with an error in place of its end mark. It returns errNotWhole
// when the caller has a part of the answer.
func (k *streamSink) refuse(body structs.ErrorBody) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.WithStack(err)
	}
	fmt.Fprintf(k.w, "event: error\ndata: %s\n\n", data)
	if err := k.w.Flush(); err != nil || !k.begun {
		return err
	}
	return errNotWhole
}

// wholeAnswer is the body of an answer in one piece.
type wholeAnswer struct {
	ID         string          `json:"id"`
	Object     string          `json:"object"`
	Created    int64           `json:"created"`
	Model      string          `json:"model"`
	Choices    []wholeChoice   `json:"choices"`
	Usage      structs.Usage   `json:"usage"`
	Havenwinch billingFraction `json:"havenwinch"`
}

type wholeChoice struct {
	Index        int             `json:"index"`
	Message      structs.Message `json:"message"`
	FinishReason string          `json:"finish_reason"`
}

func (c *Caller) whole(s *session, a *dispatch.Admission, r *dispatch.Request) {
	sink := &dispatch.BufferedSink{Disconnected: goneCheck(s.ctx.Conn())}
	result, refusal := c.opts.Dispatcher.Serve(c.opts.Work, a, sink)
	if refusal != nil {
		c.refuse(s, refusal)
		return
	}
	c.ended(s.id, s.organisation, "done")
	s.ctx.Response.Header.Set(headerBilled, strconv.FormatUint(result.Billed, 10))
	if result.Replayed {
		s.ctx.Response.Header.Set(headerReplayed, "true")
	}
	writeJSON(s.ctx, fasthttp.StatusOK, wholeAnswer{
		ID:         "chatcmpl-" + s.id,
		Object:     "chat.completion",
		Created:    c.opts.Now().Unix(),
		Model:      r.Model,
		Choices:    []wholeChoice{{Message: structs.Message{Role: "assistant", Content: contentOf(sink.Events)}, FinishReason: result.Finish}},
		Usage:      usageOf(result.Usage),
		Havenwinch: billed(s.id, result),
	})
}

// contentOf joins the text of an answer's events.
func contentOf(events []engine.Event) string {
	var b strings.Builder
	for _, e := range events {
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal(e.Data, &chunk) == nil && len(chunk.Choices) > 0 {
			b.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return b.String()
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentJSON)
	ctx.SetBody(append(data, '\n'))
}
