// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package engine is a client for model engines with an OpenAI-compatible HTTP API, and for
// servers of plain services. It never retries a request on its own. Each request uses a new
// connection, which is closed afterwards, so that no answer can be taken for that of another
// request, and every answer is read by modules/httpcall.
package engine

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"havenwinch.dev/havenwinch/modules/bytebudget"
	"havenwinch.dev/havenwinch/modules/httpcall"
)

const (
	dialTimeout = time.Second
	// streamIdleTimeout is how long an engine may send nothing, before the first token
	// (while it queues and prefills the request) as well as between tokens.
	streamIdleTimeout = 2 * time.Minute
	// queryTimeout bounds short queries, and writing any request.
	queryTimeout = 2 * time.Second
	// maxServiceBody is the maximum size of an answer of a plain service, in bytes.
	maxServiceBody = 64 << 20
)

// GenerateCall is a request for one generation.
type GenerateCall struct {
	// ID identifies the run at the engine.
	ID          string
	Scope       string
	Interactive bool
	Body        []byte
}

// Event is one event of a stream.
type Event struct {
	Sequence int
	// Data is the JSON of the event. The receiver may keep it.
	Data []byte
	// Usage is set in the last event before the end, nil in the others.
	Usage  *Usage
	Finish string
	// End is set for the engine's end-of-stream event, which has no data.
	End bool
}

// Usage is the number of tokens that the engine counted.
type Usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
}

// Total returns the number of tokens to bill.
func (u *Usage) Total() uint64 { return u.PromptTokens + u.CompletionTokens }

// RunState is the state of a run as its engine reports it. Known is false if the engine never
// received the run, or has forgotten it.
type RunState struct {
	Known            bool   `json:"known"`
	Ended            bool   `json:"ended"`
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
}

// ErrNotSent means that the connection failed before the request was sent, so that the
// target certainly did not receive it.
type ErrNotSent struct{ Cause error }

func (e ErrNotSent) Error() string { return "the target can't be reached: " + e.Cause.Error() }

// IsErrNotSent reports whether the cause of an error is an ErrNotSent.
func IsErrNotSent(err error) bool {
	_, ok := errors.Cause(err).(ErrNotSent)
	return ok
}

// IsErrRefused reports whether the target's machine refused the connection, that is,
// whether it is up but nothing listens at the address.
func IsErrRefused(err error) bool {
	e, ok := errors.Cause(err).(ErrNotSent)
	return ok && errors.Is(e.Cause, syscall.ECONNREFUSED)
}

// ErrStatus means that a target answered with an error status. NotRun is set if the engine
// rejected the request before running it.
type ErrStatus struct {
	Code   int
	NotRun bool
}

func (e ErrStatus) Error() string { return fmt.Sprintf("the target answered with status %d", e.Code) }

// ErrBroken means that a connection failed, or carried no answer, when the target may already have received
// the request.
type ErrBroken struct{ Cause error }

func (e ErrBroken) Error() string {
	return "the connection to the target broke: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e ErrBroken) Unwrap() error { return e.Cause }

// ErrWrongRun means that a stream contained an event of another run.
type ErrWrongRun struct{ Want, Got string }

func (e ErrWrongRun) Error() string {
	return fmt.Sprintf("the target sent an event of run %q in the stream of run %q", e.Got, e.Want)
}

// Options configure a Client.
type Options struct {
	// Memory is what the answers that the client holds are counted in; nil for no limit.
	Memory *bytebudget.Budget
	// Logger gets a line for each answer that is none, at a bounded rate.
	Logger *slog.Logger
}

// Client calls engines and services.
type Client struct {
	opts Options
	// refused bounds the rate of log lines.
	refused *rate.Limiter
}

// New returns a client.
func New(opts Options) *Client {
	return &Client{opts: opts, refused: rate.NewLimiter(refusedPerSecond, refusedBurst)}
}

// Reach opens a connection to a target and closes it again.
func (c *Client) Reach(ctx context.Context, address string) error {
	conn, err := httpcall.Dial(ctx, address, dialTimeout)
	if err != nil {
		return errors.WithStack(ErrNotSent{Cause: err})
	}
	conn.Close()
	return nil
}

// Generate starts a run and returns its stream. The end of the context closes the
// connection. An engine that supports resuming treats that as a lost caller and goes on;
// only Cancel ends the run.
func (c *Client) Generate(ctx context.Context, address string, call GenerateCall) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + "/v1/chat/completions")
	req.Header.SetContentType("application/json")
	req.Header.Set("X-Request-Id", call.ID)
	req.Header.Set("X-Cache-Scope", call.Scope)
	if call.Interactive {
		req.Header.Set("X-Priority", "interactive")
	}
	req.SetBodyRaw(call.Body)
	return c.openStream(ctx, address, call.ID, 0, req)
}

// Resume opens the stream of a run again, behind the event with sequence number after.
func (c *Client) Resume(ctx context.Context, address, id string, after int) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + address + "/v1/streams/" + id)
	req.Header.Set("Last-Event-ID", strconv.Itoa(after))
	return c.openStream(ctx, address, id, after, req)
}

// Cancel ends a run by its ID. An engine that has not received the run refuses the ID from
// then on.
func (c *Client) Cancel(ctx context.Context, address, id string) (RunState, error) {
	var state RunState
	err := c.query(ctx, fasthttp.MethodDelete, address, "/v1/streams/"+id, id, state.parse)
	return state, err
}

// Status returns the state of a run by its ID.
func (c *Client) Status(ctx context.Context, address, id string) (RunState, error) {
	var state RunState
	err := c.query(ctx, fasthttp.MethodGet, address, "/v1/streams/"+id+"/status", id, state.parse)
	return state, err
}

// Load is the load that an engine reports.
type Load struct {
	Running      int `json:"running"`
	Queued       int `json:"queued"`
	PromptQueued int `json:"prompt_queued"`
}

// Load queries the load of an engine.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	err := c.query(ctx, fasthttp.MethodGet, address, "/load", "load", load.parse)
	return load, err
}

// CacheEvents is a page of the cache events of an engine. A new epoch means a new cache.
type CacheEvents struct {
	Epoch  string       `json:"epoch"`
	Events []CacheEvent `json:"events"`
}

// CacheEvent is a cache event as encoded by the engine.
type CacheEvent struct {
	Sequence uint64 `json:"seq"`
	Op       string `json:"op"`
	Block    string `json:"block"`
}

// CacheEvents queries the cache events of an engine that follow a sequence number of an
// epoch.
func (c *Client) CacheEvents(ctx context.Context, address, epoch string, after uint64) (CacheEvents, error) {
	var page CacheEvents
	path := fmt.Sprintf("/cache/events?epoch=%s&after=%d", epoch, after)
	err := c.query(ctx, fasthttp.MethodGet, address, path, "cache events", page.parse)
	return page, err
}
