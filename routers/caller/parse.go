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
	headerKey        = "Idempotency-Key"
	headerPrefer     = "Prefer"
	headerPriority   = "Priority"
	headerDeadline   = "Havenwinch-Deadline"
	headerRepeatable = "Havenwinch-Repeatable"

	maxKey = 200
	// messageTokens is the bound of what an engine adds around a message, and
	// requestTokens around all of them.
	messageTokens = 8
	requestTokens = 16
	// bytesPerToken is the usual length of a token, for estimates only; bounds
	// count one token a byte, the most that byte-level vocabularies make.
	bytesPerToken = 4
	// lowestInteractive is the highest urgency value of RFC 9218 that counts
	// as interactive; 3 is that RFC's default.
	lowestInteractive = 3
	maxUrgency        = 7

	defaultInteractive = 10 * time.Minute
)

// fieldError names the field of a request that is wrong.
type fieldError struct {
	name string
}

func (e *fieldError) Error() string { return "field " + e.name }

func badField(name, format string, args ...any) *dispatch.Refusal {
	return &dispatch.Refusal{Kind: structs.KindInvalidField, Run: structs.RunNo, Message: name + " " + fmt.Sprintf(format, args...), Cause: &fieldError{name: name}}
}

// authorise finds the group of an access key. Only digests are looked up and
// compared.
func (c *Caller) authorise(s *session) *dispatch.Refusal {
	header := string(s.ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok || key == "" {
		s.ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
		return &dispatch.Refusal{Kind: structs.KindNoKey, Run: structs.RunNo, Message: "send your group's access key as Authorization: Bearer"}
	}
	wanted := digest.Of([]byte(key))
	c.opts.Config.Read(func(st *state.State) {
		if row := st.Keys[wanted]; row != nil && digest.Equal(row.GetDigest(), wanted) {
			s.group = st.Groups[row.GetGroup()]
		}
	})
	if s.group == nil {
		return &dispatch.Refusal{Kind: structs.KindWrongKey, Run: structs.RunNo, Message: "this access key belongs to no group: ask an operator for one"}
	}
	s.organisation = state.OrganisationOf(s.group.GetName())
	return nil
}

// parseHeaders reads what all kinds of requests have in their headers.
func (c *Caller) parseHeaders(s *session, r *dispatch.Request) *dispatch.Refusal {
	h := &s.ctx.Request.Header
	r.ID, r.Group, r.Organisation = s.id, s.group, s.organisation
	r.Key = string(h.Peek(headerKey))
	if refusal := checkKey(r.Key); refusal != nil {
		return refusal
	}
	if r.Key == "" {
		r.Anonymous = true
		r.Key = keeper.AnonymousPrefix + s.id
	}
	if refusal := c.parsePriority(string(h.Peek(headerPriority)), r); refusal != nil {
		return refusal
	}
	if refusal := parseRepeatable(string(h.Peek(headerRepeatable)), r); refusal != nil {
		return refusal
	}
	return c.parseDeadline(string(h.Peek(headerDeadline)), string(h.Peek(headerPrefer)), r)
}

func checkKey(key string) *dispatch.Refusal {
	if len(key) > maxKey {
		return badField(headerKey, "is longer than %d bytes: use a UUID of version 7", maxKey)
	}
	if strings.HasPrefix(key, keeper.AnonymousPrefix) {
		return badField(headerKey, "must not begin with %q", keeper.AnonymousPrefix)
	}
	for _, b := range []byte(key) {
		if b <= ' ' || b > '~' {
			return badField(headerKey, "may only hold visible ASCII characters: use a UUID of version 7")
		}
	}
	return nil
}

// parsePriority reads the urgency of RFC 9218: up to 3 is interactive, above
// it is batch. Without one a request has its group's priority.
func (c *Caller) parsePriority(header string, r *dispatch.Request) *dispatch.Refusal {
	r.Priority = r.Group.GetPriority()
	for _, item := range strings.Split(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(item), "u=")
		if !ok {
			continue
		}
		urgency, err := strconv.Atoi(value)
		if err != nil || urgency < 0 || urgency > maxUrgency {
			return badField(headerPriority, "must hold u=0 to u=%d, as in RFC 9218", maxUrgency)
		}
		if urgency > lowestInteractive {
			r.Priority = statev1.Priority_PRIORITY_BATCH
			continue
		}
		if r.Group.GetPriority() != statev1.Priority_PRIORITY_INTERACTIVE {
			return &dispatch.Refusal{Kind: structs.KindPriority, Run: structs.RunNo, Message: "this group may only send batch requests: leave Priority out or use u=4 to u=7"}
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
		return badField(headerRepeatable, "must be yes or no")
	}
	return nil
}

// parseDeadline reads an absolute deadline, or a time to wait from RFC 7240.
func (c *Caller) parseDeadline(deadline, prefer string, r *dispatch.Request) *dispatch.Refusal {
	now := c.opts.Now()
	r.Deadline = now.Add(min(defaultInteractive, c.opts.MaxWait))
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
			return badField(headerPrefer, "must hold wait= and a number of seconds above zero")
		}
		r.Deadline = now.Add(min(time.Duration(wait)*time.Second, c.opts.MaxWait))
	}
	if deadline == "" {
		return nil
	}
	at, err := time.Parse(time.RFC3339, deadline)
	if err != nil {
		return badField(headerDeadline, "must be a time as in RFC 3339, as 2026-01-02T15:04:05Z")
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

// maxDrained is how much of a body over the limit is read before it is refused:
// a caller that is still sending when the connection closes would lose the
// answer.
const maxDrained = 64 << 20

// readBody returns a copy of the body, which outlives the handler.
func (c *Caller) readBody(s *session) ([]byte, *dispatch.Refusal) {
	stream := s.ctx.RequestBodyStream()
	if stream == nil {
		return append([]byte(nil), s.ctx.PostBody()...), nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, int64(c.opts.MaxBody)+1))
	if err != nil {
		return nil, &dispatch.Refusal{Kind: structs.KindMalformed, Run: structs.RunNo, Message: "the body did not arrive whole: send it again"}
	}
	if len(body) <= c.opts.MaxBody {
		return body, nil
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(stream, maxDrained))
	s.ctx.SetConnectionClose()
	return nil, &dispatch.Refusal{Kind: structs.KindTooLarge, Run: structs.RunNo, Message: "the body is larger than " + strconv.Itoa(c.opts.MaxBody) + " bytes: send less"}
}

// parseChat reads a chat request and prepares the body for the engine.
func (c *Caller) parseChat(s *session) (*dispatch.Request, bool, *dispatch.Refusal) {
	r := &dispatch.Request{Repeatable: true}
	if refusal := c.parseHeaders(s, r); refusal != nil {
		return nil, false, refusal
	}
	body, refusal := c.readBody(s)
	if refusal != nil {
		return nil, false, refusal
	}
	var chat structs.ChatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return nil, false, &dispatch.Refusal{Kind: structs.KindMalformed, Run: structs.RunNo, Message: "the body is no chat request (" + err.Error() + "): send JSON as docs/API.md shows"}
	}
	if refusal := c.checkModel(s.group, chat.Model); refusal != nil {
		return nil, false, refusal
	}
	maxTokens, refusal := c.maxTokens(s.group, &chat)
	if refusal != nil {
		return nil, false, refusal
	}
	if len(chat.Messages) == 0 {
		return nil, false, badField("messages", "must hold at least one message")
	}
	if chat.N != nil && *chat.N != 1 {
		return nil, false, badField("n", "must be 1: send a request for each answer")
	}
	prompt := promptOf(chat.Messages)
	r.Model = chat.Model
	r.MaxTokens = maxTokens
	r.Prompt = len(prompt)/bytesPerToken + 1
	r.Bound = uint64(len(prompt) + messageTokens*len(chat.Messages) + requestTokens + maxTokens)
	r.Digest = digest.Of(body)
	r.Scope = scopeOf(s.organisation)
	r.Blocks = target.Blocks(r.Scope, r.Model, prompt)
	encoded, err := engineBody(body, maxTokens)
	if err != nil {
		return nil, false, &dispatch.Refusal{Kind: structs.KindMalformed, Run: structs.RunNo, Message: "the body is no JSON object: send one as docs/API.md shows"}
	}
	r.Body = encoded
	return r, chat.Stream, nil
}

// scopeDigits is the length of an organisation's name towards engines.
const scopeDigits = 16

// scopeOf keeps the prompt caches of organisations apart, without naming them.
func scopeOf(organisation string) string {
	return digest.Of([]byte("cache scope"), []byte(organisation))[:scopeDigits]
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

func (c *Caller) checkModel(group *statev1.Group, model string) *dispatch.Refusal {
	if model == "" {
		return badField("model", "is missing: GET /v1/models lists those of your group")
	}
	for _, m := range group.GetModels() {
		if m == model {
			return nil
		}
	}
	if c.knownModel(model) {
		return &dispatch.Refusal{Kind: structs.KindModelNotAllowed, Run: structs.RunNo, Message: "this group may not call model " + strconv.Quote(model) + ": GET /v1/models lists those it may call", Cause: &fieldError{name: "model"}}
	}
	return &dispatch.Refusal{Kind: structs.KindUnknownModel, Run: structs.RunNo, Message: "there is no model " + strconv.Quote(model) + ": GET /v1/models lists those of your group", Cause: &fieldError{name: "model"}}
}

func (c *Caller) knownModel(model string) bool {
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

// maxTokens returns the limit of generated tokens; a request that names none
// gets its group's.
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
		return 0, badField(name, "must be a whole number from 1 to %d", highest)
	}
	return int(*limit), nil
}

// engineBody sets the limit and asks for a stream that ends with the usage;
// all else goes on as the caller sent it.
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
