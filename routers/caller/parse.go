// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/models/target"
	"havenwinch.dev/havenwinch/modules/digest"
	"havenwinch.dev/havenwinch/services/dispatch"
	"havenwinch.dev/havenwinch/services/keeper"
	"havenwinch.dev/havenwinch/structs"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	headerPrefer         = "Prefer"
	headerPriority       = "Priority"
	headerDeadline       = "Havenwinch-Deadline"
	headerRepeatable     = "Havenwinch-Repeatable"

	maxKeyBytes = 200
	// tokensPerMessage bounds the tokens that an engine adds around each message, and
	// tokensPerRequest those that it adds around all of them.
	tokensPerMessage = 8
	tokensPerRequest = 16
	// bytesPerToken is the usual length of a token and serves estimates only. Bounds
	// count one token per byte, the most that a byte-level vocabulary can produce.
	bytesPerToken = 4
	// maxInteractiveUrgency is the highest urgency value of RFC 9218 that counts
	// as interactive; 3 is that RFC's default.
	maxInteractiveUrgency = 3
	maxUrgency            = 7

	// defaultInteractiveWait is the deadline of an interactive request that sets none.
	defaultInteractiveWait = 10 * time.Minute
)

// fieldError names the invalid field of a request.
type fieldError struct {
	name string
}

func (e *fieldError) Error() string { return "field " + e.name }

func invalidField(name, format string, args ...any) *dispatch.Refusal {
	return &dispatch.Refusal{Kind: structs.KindInvalidField, Run: structs.RunNo, Message: name + " " + fmt.Sprintf(format, args...), Cause: &fieldError{name: name}}
}

// authenticate sets the group and the organisation of the request's access key. Only
// digests of keys are looked up and compared.
func (c *Caller) authenticate(x *exchange) *dispatch.Refusal {
	header := string(x.ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok || key == "" {
		x.ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
		return &dispatch.Refusal{Kind: structs.KindNoKey, Run: structs.RunNo, Message: "send your group's access key as Authorization: Bearer"}
	}
	wanted := digest.Of([]byte(key))
	c.opts.Config.Read(func(st *state.State) {
		if row := st.Keys[wanted]; row != nil && digest.Equal(row.GetDigest(), wanted) {
			x.group = st.Groups[row.GetGroup()]
		}
	})
	if x.group == nil {
		return &dispatch.Refusal{Kind: structs.KindWrongKey, Run: structs.RunNo, Message: "this access key belongs to no group: ask an operator for one"}
	}
	x.organisation = state.OrganisationOf(x.group.GetName())
	return nil
}

// parseHeaders reads the headers that all kinds of requests share.
func (c *Caller) parseHeaders(x *exchange, r *dispatch.Request) *dispatch.Refusal {
	h := &x.ctx.Request.Header
	r.ID, r.Group, r.Organisation = x.id, x.group, x.organisation
	r.Key = string(h.Peek(headerIdempotencyKey))
	if refusal := validateIdempotencyKey(r.Key); refusal != nil {
		return refusal
	}
	if r.Key == "" {
		r.Anonymous = true
		r.Key = keeper.AnonymousPrefix + x.id
	}
	if refusal := c.parsePriority(string(h.Peek(headerPriority)), r); refusal != nil {
		return refusal
	}
	if refusal := parseRepeatable(string(h.Peek(headerRepeatable)), r); refusal != nil {
		return refusal
	}
	return c.parseDeadline(string(h.Peek(headerDeadline)), string(h.Peek(headerPrefer)), r)
}

func validateIdempotencyKey(key string) *dispatch.Refusal {
	if len(key) > maxKeyBytes {
		return invalidField(headerIdempotencyKey, "is longer than %d bytes: use a UUID of version 7", maxKeyBytes)
	}
	if strings.HasPrefix(key, keeper.AnonymousPrefix) {
		return invalidField(headerIdempotencyKey, "must not begin with %q", keeper.AnonymousPrefix)
	}
	for _, b := range []byte(key) {
		if b <= ' ' || b > '~' {
			return invalidField(headerIdempotencyKey, "may only hold visible ASCII characters: use a UUID of version 7")
		}
	}
	return nil
}

// parsePriority reads the urgency of RFC 9218: values up to 3 are interactive, higher
// ones are batch. Without an urgency the request gets its group's priority.
func (c *Caller) parsePriority(header string, r *dispatch.Request) *dispatch.Refusal {
	r.Priority = r.Group.GetPriority()
	for _, item := range strings.Split(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(item), "u=")
		if !ok {
			continue
		}
		urgency, err := strconv.Atoi(value)
		if err != nil || urgency < 0 || urgency > maxUrgency {
			return invalidField(headerPriority, "must hold u=0 to u=%d, as in RFC 9218", maxUrgency)
		}
		if urgency > maxInteractiveUrgency {
			r.Priority = statev1.Priority_PRIORITY_BATCH
			continue
		}
		if r.Group.GetPriority() != statev1.Priority_PRIORITY_INTERACTIVE {
			return &dispatch.Refusal{Kind: structs.KindPriorityNotAllowed, Run: structs.RunNo, Message: "this group may only send batch requests: leave Priority out or use u=4 to u=7"}
		}
		r.Priority = statev1.Priority_PRIORITY_INTERACTIVE
	}
	return nil
}

func parseRepeatable(header string, r *dispatch.Request) *dispatch.Refusal {
	switch header {
	case "":
	case "yes":
		r.Repeatable = true
	case "no":
		r.Repeatable = false
	default:
		return invalidField(headerRepeatable, "must be yes or no")
	}
	return nil
}

// parseDeadline reads an absolute deadline, or the wait preference of RFC 7240 in
// seconds. MaxWait caps both.
func (c *Caller) parseDeadline(deadline, prefer string, r *dispatch.Request) *dispatch.Refusal {
	now := c.opts.Now()
	r.Deadline = now.Add(min(defaultInteractiveWait, c.opts.MaxWait))
	if !r.Interactive() {
		r.Deadline = now.Add(c.opts.MaxWait)
	}
	for _, item := range strings.Split(prefer, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(item), "wait=")
		if !ok {
			continue
		}
		wait, err := strconv.Atoi(value)
		if err != nil || wait <= 0 {
			return invalidField(headerPrefer, "must hold wait= and a number of seconds above zero")
		}
		r.Deadline = now.Add(min(time.Duration(wait)*time.Second, c.opts.MaxWait))
	}
	if deadline == "" {
		return nil
	}
	at, err := time.Parse(time.RFC3339, deadline)
	if err != nil {
		return invalidField(headerDeadline, "must be a time as in RFC 3339, as 2026-01-02T15:04:05Z")
	}
	if !at.After(now) {
		return &dispatch.Refusal{Kind: structs.KindDeadlinePast, Run: structs.RunNo, Message: headerDeadline + " has passed: send a later one", Cause: &fieldError{name: headerDeadline}}
	}
	r.Deadline = at
	if latest := now.Add(c.opts.MaxWait); at.After(latest) {
		r.Deadline = latest
	}
	return nil
}

// maxDiscardedBody is how many bytes of an oversized body are read and discarded
// before the request is refused: a caller that is still sending when the connection
// closes would lose the answer.
const maxDiscardedBody = 64 << 20

// readBody returns a copy of the body that stays valid after the handler returns.
func (c *Caller) readBody(x *exchange) ([]byte, *dispatch.Refusal) {
	stream := x.ctx.RequestBodyStream()
	if stream == nil {
		return append([]byte(nil), x.ctx.PostBody()...), nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, int64(c.opts.MaxBody)+1))
	// fasthttp ends the stream in order when the caller ends its side before the length.
	if short := len(body) < min(x.ctx.Request.Header.ContentLength(), c.opts.MaxBody+1); err != nil || short {
		x.ctx.SetConnectionClose()
		return nil, &dispatch.Refusal{Kind: structs.KindMalformed, Run: structs.RunNo, Message: "the body did not arrive whole: send it again"}
	}
	if len(body) <= c.opts.MaxBody {
		return body, nil
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(stream, maxDiscardedBody))
	x.ctx.SetConnectionClose()
	return nil, &dispatch.Refusal{Kind: structs.KindTooLarge, Run: structs.RunNo, Message: "the body is larger than " + strconv.Itoa(c.opts.MaxBody) + " bytes: send less"}
}

// parseChat reads a chat request, prepares the body for the engine and returns
// whether the caller asked for a stream.
func (c *Caller) parseChat(x *exchange) (*dispatch.Request, bool, *dispatch.Refusal) {
	r := &dispatch.Request{Repeatable: true}
	if refusal := c.parseHeaders(x, r); refusal != nil {
		return nil, false, refusal
	}
	body, refusal := c.readBody(x)
	if refusal != nil {
		return nil, false, refusal
	}
	var chat structs.ChatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return nil, false, &dispatch.Refusal{Kind: structs.KindMalformed, Run: structs.RunNo, Message: "the body is no chat request (" + err.Error() + "): send JSON as docs/API.md shows"}
	}
	if refusal := c.validateModel(x.group, chat.Model); refusal != nil {
		return nil, false, refusal
	}
	maxTokens, refusal := c.maxTokens(x.group, &chat)
	if refusal != nil {
		return nil, false, refusal
	}
	if len(chat.Messages) == 0 {
		return nil, false, invalidField("messages", "must hold at least one message")
	}
	if chat.N != nil && *chat.N != 1 {
		return nil, false, invalidField("n", "must be 1: send a request for each answer")
	}
	prompt := promptOf(chat.Messages)
	r.Model = chat.Model
	r.MaxTokens = maxTokens
	r.Prompt = len(prompt)/bytesPerToken + 1
	r.Bound = uint64(len(prompt) + tokensPerMessage*len(chat.Messages) + tokensPerRequest + maxTokens)
	r.Digest = digest.Of(body)
	r.Scope = cacheScopeOf(x.organisation)
	r.Blocks = target.Blocks(r.Scope, r.Model, prompt)
	encoded, err := engineBody(body, maxTokens)
	if err != nil {
		return nil, false, &dispatch.Refusal{Kind: structs.KindMalformed, Run: structs.RunNo, Message: "the body is no JSON object: send one as docs/API.md shows"}
	}
	r.Body = encoded
	return r, chat.Stream, nil
}

// cacheScopeLength is the length of a cache scope in hexadecimal digits.
const cacheScopeLength = 16

// cacheScopeOf returns the scope that separates the prompt caches of organisations
// on engines without disclosing an organisation's name.
func cacheScopeOf(organisation string) string {
	return digest.Of([]byte("cache scope"), []byte(organisation))[:cacheScopeLength]
}

func promptOf(messages []structs.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

func (c *Caller) validateModel(group *statev1.Group, model string) *dispatch.Refusal {
	if model == "" {
		return invalidField("model", "is missing: GET /v1/models lists those of your group")
	}
	for _, m := range group.GetModels() {
		if m == model {
			return nil
		}
	}
	if c.isKnownModel(model) {
		return &dispatch.Refusal{Kind: structs.KindModelNotAllowed, Run: structs.RunNo, Message: "this group may not call model " + strconv.Quote(model) + ": GET /v1/models lists those it may call", Cause: &fieldError{name: "model"}}
	}
	return &dispatch.Refusal{Kind: structs.KindUnknownModel, Run: structs.RunNo, Message: "there is no model " + strconv.Quote(model) + ": GET /v1/models lists those of your group", Cause: &fieldError{name: "model"}}
}

func (c *Caller) isKnownModel(model string) bool {
	known := false
	c.opts.Config.Read(func(st *state.State) {
		for _, g := range st.Groups {
			for _, m := range g.GetModels() {
				known = known || m == model
			}
		}
	})
	return known
}

// maxTokens returns the limit of generated tokens, which defaults to the group's.
func (c *Caller) maxTokens(group *statev1.Group, chat *structs.ChatRequest) (int, *dispatch.Refusal) {
	name, limit := "max_tokens", chat.MaxTokens
	if limit == nil && chat.MaxCompletionTokens != nil {
		name, limit = "max_completion_tokens", chat.MaxCompletionTokens
	}
	highest := int64(c.opts.Config.Value(state.RolloutMaxTokens))
	if limit == nil {
		return int(min(int64(group.GetDefaultTokens()), highest)), nil
	}
	if *limit < 1 || *limit > highest {
		return 0, invalidField(name, "must be a whole number from 1 to %d", highest)
	}
	return int(*limit), nil
}

// engineBody returns the body for the engine: it sets the token limit and requests a
// stream that ends with the usage. All other fields stay as the caller sent them.
func engineBody(body []byte, maxTokens int) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	delete(fields, "max_completion_tokens")
	fields["max_tokens"] = strconv.AppendInt(nil, int64(maxTokens), 10)
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(fields)
	return out.Bytes(), err
}
