// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package admin is the HTTP API for operators: commands, queries, the event timeline,
// status, health and metrics. docs/API.md describes it.
package admin

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/fasthttp/router"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	"havenwinch.dev/havenwinch/models/target"
	"havenwinch.dev/havenwinch/modules/digest"
	"havenwinch.dev/havenwinch/services/timeline"
	"havenwinch.dev/havenwinch/structs"
)

const (
	// commandTimeout bounds a command or query. The outcome of a command that exceeds
	// it is unknown.
	commandTimeout   = 10 * time.Second
	maxBodyBytes     = 64 << 10
	readTimeout      = 10 * time.Second
	leaderRetryAfter = 2 * time.Second
)

// Control sends commands and queries to the leader of the control boxes.
type Control interface {
	Command(ctx context.Context, r *betweenv1.CommandRequest) (*betweenv1.CommandResponse, error)
	Query(ctx context.Context, r *betweenv1.QueryRequest) (*betweenv1.QueryResponse, error)
}

// Box provides the state of the local box.
type Box interface {
	Status() structs.BoxStatus
	// Ready returns an error, which is shown to the load balancer, while the box should
	// not receive requests.
	Ready() error
	// Explain returns the scores of all candidate targets for a model.
	Explain(model string) []target.Score
}

// Options configure an Admin.
type Options struct {
	Control Control
	Box     Box
	// Operators maps the digest of an operator's key to the operator's name.
	Operators map[string]string
	Recorder  *timeline.Recorder
	Registry  *prometheus.Registry
	Logger    *slog.Logger
	// BaseContext is the parent context of commands and queries.
	BaseContext context.Context
}

// Admin is the server of the API for operators.
type Admin struct {
	opts   Options
	server *fasthttp.Server
}

// New returns a server with all routes; the caller starts it with Server.
func New(opts Options) *Admin {
	a := &Admin{opts: opts}
	r := router.New()
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("alive\n") })
	r.GET("/readyz", a.ready)
	r.GET("/metrics", fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(opts.Registry, promhttp.HandlerOpts{})))
	r.POST("/admin/v1/commands", a.requireOperator(a.command))
	r.GET("/admin/v1/query", a.requireOperator(a.query))
	r.GET("/admin/v1/events", a.requireOperator(a.events))
	r.GET("/admin/v1/status", a.requireOperator(a.status))
	r.GET("/admin/v1/explain", a.requireOperator(a.explain))
	a.server = &fasthttp.Server{
		Handler:               r.Handler,
		Name:                  "havenwinch",
		ReadTimeout:           readTimeout,
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return a
}

// Server returns the HTTP server, to be started and shut down by the caller.
func (a *Admin) Server() *fasthttp.Server { return a.server }

// requireOperator wraps a handler that needs an operator's key as bearer token, and
// passes the operator's name to it.
func (a *Admin) requireOperator(handle func(ctx *fasthttp.RequestCtx, operator string)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		header := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
		key, ok := strings.CutPrefix(header, "Bearer ")
		keyDigest := digest.Of([]byte(key))
		for known, operator := range a.opts.Operators {
			if ok && digest.Equal(known, keyDigest) {
				handle(ctx, operator)
				return
			}
		}
		writeError(ctx, fasthttp.StatusUnauthorized, structs.Error{Kind: structs.KindWrongKey, Run: structs.RunNo, Message: "send an operator's key as Authorization: Bearer; the operators-file of this box lists their digests"})
	}
}

func (a *Admin) ready(ctx *fasthttp.RequestCtx) {
	if err := a.opts.Box.Ready(); err != nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(err.Error() + "\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

func (a *Admin) command(ctx *fasthttp.RequestCtx, operator string) {
	var c structs.Command
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, structs.Error{Kind: structs.KindMalformed, Run: structs.RunNo, Message: "the body is no command (" + err.Error() + "): send number and text as JSON"})
		return
	}
	if c.Number == 0 {
		writeError(ctx, fasthttp.StatusBadRequest, structs.Error{Kind: structs.KindInvalidField, Field: "number", Run: structs.RunNo, Message: "number must be above zero, and new for each command"})
		return
	}
	reqCtx, cancel := context.WithTimeout(a.opts.BaseContext, commandTimeout)
	defer cancel()
	resp, err := a.opts.Control.Command(reqCtx, &betweenv1.CommandRequest{Operator: operator, Number: c.Number, Text: c.Text, ExpectRevision: c.ExpectRevision})
	if err != nil {
		a.writeControlError(ctx, err)
		return
	}
	r := resp.GetResult()
	a.opts.Logger.Info("command", "operator", operator, "number", r.GetNumber(), "refusal", r.GetRefusal(), "revision", r.GetRevision())
	status := fasthttp.StatusOK
	if r.GetRefusal() != "" {
		status = fasthttp.StatusConflict
	}
	writeJSON(ctx, status, structs.CommandResult{Operator: operator, Number: r.GetNumber(), Refusal: r.GetRefusal(), Message: r.GetMessage(), Revision: r.GetRevision()})
}

func (a *Admin) query(ctx *fasthttp.RequestCtx, _ string) {
	reqCtx, cancel := context.WithTimeout(a.opts.BaseContext, commandTimeout)
	defer cancel()
	resp, err := a.opts.Control.Query(reqCtx, &betweenv1.QueryRequest{Text: string(ctx.QueryArgs().Peek("q"))})
	if err != nil {
		a.writeControlError(ctx, err)
		return
	}
	result := structs.QueryResult{Revision: resp.GetRevision(), Columns: resp.GetColumns(), Rows: [][]string{}}
	for _, row := range resp.GetRows() {
		result.Rows = append(result.Rows, row.GetCells())
	}
	writeJSON(ctx, fasthttp.StatusOK, result)
}

// writeControlError reports why control sent no result, and whether the command may
// have taken effect nevertheless.
func (a *Admin) writeControlError(ctx *fasthttp.RequestCtx, err error) {
	message := err.Error()
	var connectErr *connect.Error
	if errors.As(err, &connectErr) {
		message = connectErr.Message()
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument:
		writeError(ctx, fasthttp.StatusBadRequest, structs.Error{Kind: structs.KindSyntax, Run: structs.RunNo, Message: message})
	case connect.CodeUnavailable:
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(leaderRetryAfter.Seconds()))))
		writeError(ctx, fasthttp.StatusServiceUnavailable, structs.Error{Kind: structs.KindNoLeader, Run: structs.RunUnknown, RetryAfter: leaderRetryAfter.Seconds(), Message: "no control box leads at the moment (" + message + "): send it again under the same number"})
	default:
		writeError(ctx, fasthttp.StatusGatewayTimeout, structs.Error{Kind: structs.KindOutcomeUnknown, Run: structs.RunUnknown, RetryAfter: leaderRetryAfter.Seconds(), Message: message + ": send it again under the same number"})
	}
}

func (a *Admin) events(ctx *fasthttp.RequestCtx, _ string) {
	writeJSON(ctx, fasthttp.StatusOK, a.opts.Recorder.Events(string(ctx.QueryArgs().Peek("request"))))
}

func (a *Admin) status(ctx *fasthttp.RequestCtx, _ string) {
	writeJSON(ctx, fasthttp.StatusOK, a.opts.Box.Status())
}

// candidate is the JSON form of one target's score in a routing decision.
type candidate struct {
	Target    string `json:"target"`
	Reason    string `json:"reason"`
	Cost      int    `json:"cost"`
	Recompute int    `json:"recompute"`
	Queued    int    `json:"queued"`
	Decode    int    `json:"decode"`
}

func (a *Admin) explain(ctx *fasthttp.RequestCtx, _ string) {
	candidates := []candidate{}
	for _, s := range a.opts.Box.Explain(string(ctx.QueryArgs().Peek("model"))) {
		candidates = append(candidates, candidate{Target: s.Target, Reason: string(s.Reason), Cost: s.Cost(), Recompute: s.Recompute, Queued: s.Queued, Decode: s.Decode})
	}
	writeJSON(ctx, fasthttp.StatusOK, candidates)
}

func writeError(ctx *fasthttp.RequestCtx, status int, e structs.Error) {
	writeJSON(ctx, status, structs.ErrorBody{Error: e})
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}
