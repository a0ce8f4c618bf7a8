// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package caller implements the HTTP API for callers: OpenAI-compatible chat
// completions, plain services below /services/, and the status, the answer and
// the cancellation of earlier requests. docs/API.md describes it.
//
// fasthttp reuses a request's buffers once its handler has returned, so
// everything that outlives the handler is copied first.
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
	"havenwinch.dev/havenwinch/modules/bytebudget"
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
	// writeTimeout is 0, which means no limit, because streams may be long.
	writeTimeout = 0
)

// Dispatcher admits requests, runs them on targets and finds earlier ones.
type Dispatcher interface {
	Admit(ctx context.Context, r *dispatch.Request) (*dispatch.Admission, *dispatch.Refusal)
	Serve(ctx context.Context, a *dispatch.Admission, sink dispatch.Sink) (dispatch.Result, *dispatch.Refusal)
	ServeService(ctx context.Context, r *dispatch.ServiceRequest) (*engine.ServiceAnswer, *dispatch.Refusal)
	Find(ctx context.Context, group *statev1.Group, key string) (*statev1.RequestRecord, *dispatch.Refusal)
	Answer(ctx context.Context, record *statev1.RequestRecord, after int) (*engine.Stream, *dispatch.Refusal)
	Cancel(ctx context.Context, record *statev1.RequestRecord) *dispatch.Refusal
}

// Configuration reads the box's copy of the configuration.
type Configuration interface {
	Read(read func(st *state.State))
	Value(name string) int
}

// Counter counts finished requests by organisation and outcome.
type Counter interface {
	Done(organisation, outcome string)
}

// Options configure a Caller.
type Options struct {
	Dispatcher Dispatcher
	Config     Configuration
	Counter    Counter
	Recorder   *timeline.Recorder
	Logger     *slog.Logger
	// Work is the context in which requests run; it is cancelled when the box
	// stops.
	Work context.Context
	// MaxBody is the largest accepted body, in bytes.
	MaxBody int
	// Memory is what the events of answers that are not streamed are counted in; nil for no limit.
	Memory *bytebudget.Budget
	// MaxWait caps the time from a request's arrival to its deadline.
	MaxWait time.Duration
	// ReadTimeout bounds the time to read one request.
	ReadTimeout time.Duration
	NewID       func() string
	Now         func() time.Time
}

// Caller is the HTTP server for callers.
type Caller struct {
	opts    Options
	server  *fasthttp.Server
	running sync.WaitGroup
}

// New returns a Caller with its routes registered. It opens no listener.
func New(opts Options) *Caller {
	c := &Caller{opts: opts}
	r := router.New()
	r.POST("/v1/chat/completions", c.requireKey(c.chat))
	r.GET("/v1/models", c.requireKey(c.models))
	r.GET("/v1/requests/{key}", c.requireKey(c.status))
	r.DELETE("/v1/requests/{key}", c.requireKey(c.cancel))
	r.GET("/v1/requests/{key}/answer", c.requireKey(c.answer))
	r.ANY("/services/{service}/{path:*}", c.requireKey(c.service))
	r.NotFound = c.notFound
	r.MethodNotAllowed = c.notFound
	r.PanicHandler = c.handlePanic
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
		ErrorHandler:                 c.handleReadError,
		Logger:                       discardLogger{},
	}
	return c
}

// discardLogger drops fasthttp's log lines, which may contain callers' data.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Server returns the underlying HTTP server, which the box serves and shuts down.
func (c *Caller) Server() *fasthttp.Server { return c.server }

// Wait blocks until no request is in progress.
func (c *Caller) Wait() { c.running.Wait() }

// exchange is one HTTP request with its ID and, once authenticated, its group and
// organisation.
type exchange struct {
	ctx          *fasthttp.RequestCtx
	id           string
	group        *statev1.Group
	organisation string
}

// requireKey assigns the request its ID and authenticates its access key before it
// calls handle.
func (c *Caller) requireKey(handle func(x *exchange)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		x := &exchange{ctx: ctx, id: c.opts.NewID()}
		ctx.Response.Header.Set(headerRequestID, x.id)
		if refusal := c.authenticate(x); refusal != nil {
			c.refuse(x, refusal)
			return
		}
		c.running.Add(1)
		defer c.running.Done()
		handle(x)
	}
}

// refuse counts, records and logs a refusal and answers with it as JSON.
func (c *Caller) refuse(x *exchange, refusal *dispatch.Refusal) {
	c.opts.Counter.Done(x.organisation, string(refusal.Kind))
	c.opts.Recorder.Record("refused", x.id, string(refusal.Kind)+", run: "+string(refusal.Run))
	c.opts.Logger.Info("request refused", "request", x.id, "group", x.group.GetName(), "kind", refusal.Kind, "run", refusal.Run)
	if refusal.RetryAfter > 0 {
		x.ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(ceilSeconds(refusal.RetryAfter)))
	}
	writeJSON(x.ctx, statusOf(refusal.Kind), errorBody(x.id, refusal))
}

func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

func errorBody(id string, r *dispatch.Refusal) structs.ErrorBody {
	e := structs.Error{Kind: r.Kind, Message: r.Message, Run: r.Run, RequestID: id, RetryAfter: r.RetryAfter.Seconds(), Billed: r.Billed}
	var field *fieldError
	if errors.As(r.Cause, &field) {
		e.Field = field.name
	}
	return structs.ErrorBody{Error: e}
}

// statusOf returns the HTTP status for a kind of refusal.
func statusOf(kind structs.Kind) int {
	switch kind {
	case structs.KindNoKey, structs.KindWrongKey:
		return fasthttp.StatusUnauthorized
	case structs.KindModelNotAllowed, structs.KindServiceNotAllowed, structs.KindPriorityNotAllowed:
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
	case structs.KindInProgress:
		return fasthttp.StatusConflict
	case structs.KindKeyExpired, structs.KindAnswerNotKept:
		return fasthttp.StatusGone
	case structs.KindOverloaded, structs.KindDeadlineCannotBeMet:
		return fasthttp.StatusTooManyRequests
	case structs.KindTargetFailed, structs.KindAnswerTruncated:
		return fasthttp.StatusBadGateway
	case structs.KindInternal:
		return fasthttp.StatusInternalServerError
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

func (c *Caller) notFound(ctx *fasthttp.RequestCtx) {
	x := &exchange{ctx: ctx, id: c.opts.NewID()}
	c.refuse(x, &dispatch.Refusal{Kind: structs.KindNotFound, Run: structs.RunNo, Message: "there is nothing at this path for this method: see docs/API.md"})
}

func (c *Caller) handlePanic(ctx *fasthttp.RequestCtx, reason any) {
	x := &exchange{ctx: ctx, id: c.opts.NewID()}
	c.opts.Logger.Error("handler panicked", "request", x.id, "reason", reason)
	c.refuse(x, &dispatch.Refusal{Kind: structs.KindInternal, Run: structs.RunUnknown, Message: "the box failed: ask again with the same idempotency key, and tell the operators the request id"})
}

// handleReadError answers a connection on which no complete request could be read:
// headers over the limit, or a request sent too slowly or only in part.
func (c *Caller) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	x := &exchange{ctx: ctx, id: c.opts.NewID()}
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		c.refuse(x, &dispatch.Refusal{Kind: structs.KindMalformed, Run: structs.RunNo, Message: "the headers are larger than " + strconv.Itoa(maxHeader) + " bytes: send fewer"})
	default:
		c.refuse(x, &dispatch.Refusal{Kind: structs.KindMalformed, Run: structs.RunNo, Message: "the request could not be read whole: send it again"})
	}
}
