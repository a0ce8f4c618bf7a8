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

	"havenwinch.dev/havenwinch/modules/bytebudget"
	"havenwinch.dev/havenwinch/services/dispatch"
	"havenwinch.dev/havenwinch/services/engine"
	"havenwinch.dev/havenwinch/structs"
)

// chat serves POST /v1/chat/completions.
func (c *Caller) chat(x *exchange) {
	r, stream, refusal := c.parseChat(x)
	if refusal != nil {
		c.refuse(x, refusal)
		return
	}
	c.opts.Recorder.Record("arrived", x.id, fmt.Sprintf("group %s, model %s, up to %d tokens", x.group.GetName(), r.Model, r.Bound))
	a, refusal := c.opts.Dispatcher.Admit(c.opts.Work, r)
	if refusal != nil {
		c.refuse(x, refusal)
		return
	}
	if stream {
		c.serveStream(x, a)
		return
	}
	c.serveJSON(x, a, r)
}

// serveStream runs a request and answers with server-sent events.
func (c *Caller) serveStream(x *exchange, a *dispatch.Admission) {
	id, organisation := x.id, x.organisation
	x.ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	c.stream(x.ctx, func(w *bufio.Writer) error {
		sink := &streamSink{w: w}
		result, refusal := c.opts.Dispatcher.Serve(c.opts.Work, a, sink)
		if refusal != nil {
			c.recordOutcome(id, organisation, string(refusal.Kind))
			return sink.refuse(errorBody(id, refusal))
		}
		c.recordOutcome(id, organisation, "done")
		return sink.end(id, a.Request.Model, result)
	})
}

// recordOutcome counts, records and logs how a request ended.
func (c *Caller) recordOutcome(id, organisation, outcome string) {
	c.opts.Counter.Done(organisation, outcome)
	c.opts.Recorder.Record("answered", id, outcome)
	c.opts.Logger.Info("request ended", "request", id, "organisation", organisation, "outcome", outcome)
}

// streamSink writes an answer to a caller as server-sent events.
type streamSink struct {
	w *bufio.Writer
	// hasSent is true once the caller has received a part of the answer.
	hasSent bool
}

// KeepAlive implements dispatch.Sink with an SSE comment, which clients ignore.
func (k *streamSink) KeepAlive(note string) error {
	fmt.Fprintf(k.w, ": %s\n\n", note)
	return k.w.Flush()
}

// Event implements dispatch.Sink. It drops an event that carries only the usage: the
// usage is sent with the bill by end.
func (k *streamSink) Event(e engine.Event) error {
	if e.Usage != nil && e.Finish == "" {
		return nil
	}
	k.hasSent = true
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

// billingChunk is the last event of a stream. It carries the usage and the bill.
type billingChunk struct {
	Object     string             `json:"object"`
	Model      string             `json:"model"`
	Choices    []completionChoice `json:"choices"`
	Usage      structs.Usage      `json:"usage"`
	Havenwinch billingInfo        `json:"havenwinch"`
}

type billingInfo struct {
	RequestID  string `json:"request_id"`
	Billed     uint64 `json:"billed"`
	WrittenOff uint64 `json:"written_off,omitempty"`
	Replayed   bool   `json:"replayed,omitempty"`
}

func billingOf(id string, result dispatch.Result) billingInfo {
	return billingInfo{RequestID: id, Billed: result.Billed, WrittenOff: result.WrittenOff, Replayed: result.Replayed}
}

func usageOf(u *engine.Usage) structs.Usage {
	return structs.Usage{PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens, TotalTokens: u.Total()}
}

func (k *streamSink) end(id, model string, result dispatch.Result) error {
	data, err := json.Marshal(billingChunk{
		Object:     "chat.completion.chunk",
		Model:      model,
		Choices:    []completionChoice{},
		Usage:      usageOf(result.Usage),
		Havenwinch: billingOf(id, result),
	})
	if err != nil {
		return errors.WithStack(err)
	}
	fmt.Fprintf(k.w, "data: %s\n\ndata: [DONE]\n\n", data)
	return k.w.Flush()
}

// refuse ends a stream with an error event instead of [DONE]. It returns
// errIncomplete if the caller has already received a part of the answer.
func (k *streamSink) refuse(body structs.ErrorBody) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.WithStack(err)
	}
	fmt.Fprintf(k.w, "event: error\ndata: %s\n\n", data)
	if err := k.w.Flush(); err != nil || !k.hasSent {
		return err
	}
	return errIncomplete
}

// completion is the body of an answer that isn't streamed.
type completion struct {
	ID         string             `json:"id"`
	Object     string             `json:"object"`
	Created    int64              `json:"created"`
	Model      string             `json:"model"`
	Choices    []completionChoice `json:"choices"`
	Usage      structs.Usage      `json:"usage"`
	Havenwinch billingInfo        `json:"havenwinch"`
}

type completionChoice struct {
	Index        int             `json:"index"`
	Message      structs.Message `json:"message"`
	FinishReason string          `json:"finish_reason"`
}

// serveJSON runs a request and answers with one JSON object.
func (c *Caller) serveJSON(x *exchange, a *dispatch.Admission, r *dispatch.Request) {
	sink := &dispatch.BufferedSink{Disconnected: disconnectCheck(x.ctx.Conn()), Hold: bytebudget.Hold{Budget: c.opts.Memory}}
	defer sink.Reset()
	result, refusal := c.opts.Dispatcher.Serve(c.opts.Work, a, sink)
	if sink.Overflowed {
		refusal = answerTooLarge(result, refusal)
	}
	if refusal != nil {
		c.refuse(x, refusal)
		return
	}
	c.recordOutcome(x.id, x.organisation, "done")
	x.ctx.Response.Header.Set(headerBilled, strconv.FormatUint(result.Billed, 10))
	if result.Replayed {
		x.ctx.Response.Header.Set(headerReplayed, "true")
	}
	writeJSON(x.ctx, fasthttp.StatusOK, completion{
		ID:         "chatcmpl-" + x.id,
		Object:     "chat.completion",
		Created:    c.opts.Now().Unix(),
		Model:      r.Model,
		Choices:    []completionChoice{{Message: structs.Message{Role: "assistant", Content: contentOf(sink.Events)}, FinishReason: result.Finish}},
		Usage:      usageOf(result.Usage),
		Havenwinch: billingOf(x.id, result),
	})
}

// answerTooLarge returns the refusal of an answer that the box has no memory for.
func answerTooLarge(result dispatch.Result, refusal *dispatch.Refusal) *dispatch.Refusal {
	too := &dispatch.Refusal{Kind: structs.KindBoxOverloaded, Run: structs.RunYes, Billed: result.Billed,
		Message: "the request was run, and this box has no memory for the whole answer: read it as a stream under its idempotency key, or send it with stream set"}
	if refusal != nil {
		too.Run, too.Billed = structs.RunUnknown, refusal.Billed
	}
	return too
}

// contentOf concatenates the text of an answer's events.
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
