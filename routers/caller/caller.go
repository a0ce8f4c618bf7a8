// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package caller is the HTTP interface for callers: the OpenAI-compatible
// shape for models, plain services under a path of their own, and questions
// about earlier requests. docs/API.md describes it.
//
// The HTTP library uses a request's buffers again once its handler has
// returned. So everything that outlives the handler is copied here first.
package caller

import (
	"context"
	"log/slog"
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/services/dispatch"
	"havenwinch.dev/havenwinch/services/engine"
	"havenwinch.dev/havenwinch/services/timeline"
	"havenwinch.dev/havenwinch/structs"
)

const (
	headerBilled    = "Havenwinch-Billed"
	headerReplayed  = "Havenwinch-Replayed"
	headerRequestID = "X-Request-Id"

	contentJSON   = "application/json"
	contentStream = "text/event-stream"

	maxHeader   = 16 << 10
	idleTimeout = 2 * time.Minute
	// writeTimeout bounds one answer; streams may be long.
	writeTimeout = 0
)

// Dispatcher serves requests.
type Dispatcher interface {
	Admit(ctx context.Context, r *dispatch.Request) (*dispatch.Admission, *dispatch.Refusal)
	Serve(ctx context.Context, a *dispatch.Admission, sink dispatch.Sink) (dispatch.Result, *dispatch.Refusal)
	ServeService(ctx context.Context, r *dispatch.ServiceRequest) (*engine.ServiceAnswer, *dispatch.Refusal)
	Find(ctx context.Context, group *statev1.Group, key string) (*statev1.RequestRecord, *dispatch.Refusal)
	Answer(ctx context.Context, record *statev1.RequestRecord, after int) (*engine.Stream, *dispatch.Refusal)
	Cancel(ctx context.Context, record *statev1.RequestRecord) *dispatch.Refusal
}

// Configuration is the box's copy of the configuration.
type Configuration interface {
	Read(look func(st *state.State))
	Value(name string) int
}

// Counter counts outcomes.
type Counter interface {
	Done(organisation, outcome string)
}

// Options configure the interface.
type Options struct {
	Dispatcher Dispatcher
	Config     Configuration
	Counter    Counter
	Recorder   *timeline.Recorder
	Logger     *slog.Logger
	// Work is the context under which requests run; it ends with the box.
	Work    context.Context
	MaxBody int
	MaxWait time.Duration
	// ReadTimeout bounds the reading of a request.
	ReadTimeout time.Duration
	NewID       func() string
	Now         func() time.Time
}

// Caller is the interface's server.
type Caller struct {
	opts    Options
	server  *fasthttp.Server
	running sync.WaitGroup
}

// New returns the interface.
func New(opts Options) *Caller {
	c := &Caller{opts: opts}
	r := router.New()
	r.POST("/v1/chat/completions", c.guard(c.chat))
	r.GET("/v1/models", c.guard(c.models))
	r.GET("/v1/requests/{key}", c.guard(c.status))
	r.DELETE("/v1/requests/{key}", c.guard(c.cancel))
	r.GET("/v1/requests/{key}/answer", c.guard(c.answer))
	r.ANY("/services/{service}/{path:*}", c.guard(c.service))
	r.NotFound = c.notFound
	r.MethodNotAllowed = c.notFound
	r.PanicHandler = c.panicked
	c.server = &fasthttp.Server{
		Handler:                      r.Handler,
		Name:                         "havenwinch",
		ReadTimeout:                  opts.ReadTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeout,
		ReadBufferSize:               maxHeader,
		StreamRequestBody:            true,
		NoDefaultServerHeader:        true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		ErrorHandler:                 c.badConnection,
		Logger:                       quiet{},
	}
	return c
}

// quiet drops the library's own log lines, which may hold callers' data.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// Server returns the HTTP server.
func (c *Caller) Server() *fasthttp.Server { return c.server }

// Wait returns once no request is in progress.
func (c *Caller) Wait() { c.running.Wait() }

// session is one request on its way through the interface.
type session struct {
	ctx          *fasthttp.RequestCtx
	id           string
	group        *statev1.Group
	organisation string
}

// guard admits holders of an access key and gives each request its name.
func (c *Caller) guard(handle func(s *session)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		s := &session{ctx: ctx, id: c.opts.NewID()}
		ctx.Response.Header.Set(headerRequestID, s.id)
		if refusal := c.authorise(s); refusal != nil {
			c.refuse(s, refusal)
			return
		}
		c.running.Add(1)
		defer c.running.Done()
		handle(s)
	}
}

// refuse writes a refusal as JSON with its status.
func (c *Caller) refuse(s *session, refusal *dispatch.Refusal) {
	c.opts.Counter.Done(s.organisation, string(refusal.Kind))
	c.opts.Recorder.Record("refused", s.id, string(refusal.Kind)+", run: "+string(refusal.Run))
	c.opts.Logger.Info("request refused", "request", s.id, "group", s.group.GetName(), "kind", refusal.Kind, "run", refusal.Run)
	if refusal.RetryAfter > 0 {
		s.ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds(refusal.RetryAfter)))
	}
	writeJSON(s.ctx, statusOf(refusal.Kind), errorBody(s.id, refusal))
}

func seconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

func errorBody(id string, r *dispatch.Refusal) structs.ErrorBody {
	e := structs.Error{Kind: r.Kind, Message: r.Message, Run: r.Run, RequestID: id, RetryAfter: r.RetryAfter.Seconds(), Billed: r.Billed}
	var field *fieldError
	if errors.As(r.Cause, &field) {
		e.Field = field.name
	}
	return structs.ErrorBody{Error: e}
}

// statusOf returns the HTTP status of a kind of refusal.
func statusOf(kind structs.Kind) int {
	switch kind {
	case structs.KindNoKey, structs.KindWrongKey:
		return fasthttp.StatusUnauthorized
	case structs.KindModelNotAllowed, structs.KindServiceNotAllowed, structs.KindPriority:
		return fasthttp.StatusForbidden
	case structs.KindUnknownModel, structs.KindNotFound:
		return fasthttp.StatusNotFound
	case structs.KindMalformed, structs.KindInvalidField, structs.KindDeadlinePast:
		return fasthttp.StatusBadRequest
	case structs.KindTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case structs.KindBudgetExhausted:
		return fasthttp.StatusPaymentRequired
	case structs.KindKeyConflict:
		return fasthttp.StatusUnprocessableEntity
	case structs.KindRunning:
		return fasthttp.StatusConflict
	case structs.KindKeyExpired, structs.KindAnswerGone:
		return fasthttp.StatusGone
	case structs.KindOverloaded, structs.KindDeadline:
		return fasthttp.StatusTooManyRequests
	case structs.KindTargetFailed, structs.KindTruncated:
		return fasthttp.StatusBadGateway
	case structs.KindInternal:
		return fasthttp.StatusInternalServerError
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

func (c *Caller) notFound(ctx *fasthttp.RequestCtx) {
	s := &session{ctx: ctx, id: c.opts.NewID()}
	c.refuse(s, &dispatch.Refusal{Kind: structs.KindNotFound, Run: structs.RunNo, Message: "there is nothing at this path for this method: see docs/API.md"})
}

func (c *Caller) panicked(ctx *fasthttp.RequestCtx, reason any) {
	s := &session{ctx: ctx, id: c.opts.NewID()}
	c.opts.Logger.Error("a handler failed", "request", s.id, "reason", reason)
	c.refuse(s, &dispatch.Refusal{Kind: structs.KindInternal, Run: structs.RunUnknown, Message: "the box failed: ask again with the same idempotency key, and tell the operators the request id"})
}

// badConnection answers what never became a request: headers over the limit, a
// request sent too slowly or only in part.
func (c *Caller) badConnection(ctx *fasthttp.RequestCtx, err error) {
	s := &session{ctx: ctx, id: c.opts.NewID()}
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		c.refuse(s, &dispatch.Refusal{Kind: structs.KindMalformed, Run: structs.RunNo, Message: "the headers are larger than " + strconv.Itoa(maxHeader) + " bytes: send fewer"})
	default:
		c.refuse(s, &dispatch.Refusal{Kind: structs.KindMalformed, Run: structs.RunNo, Message: "the request could not be read whole: send it again"})
	}
}
