// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"havenwinch.dev/havenwinch/modules/httpcall"
)

const (
	// refusedPerSecond and refusedBurst bound the rate of log lines on answers that are none.
	refusedPerSecond = 5
	refusedBurst     = 50
)

// exchange is a request on a connection of its own and its answer.
type exchange struct {
	client      *Client
	ctx         context.Context
	address, id string
	conn        *httpcall.Conn
	answer      *httpcall.Answer
	stop        func() bool
}

// send sends a request and reads the head of its answer. wait bounds the time for all reads until the next
// call of extend, and the end of the context closes the connection. id names the call in the log.
func (c *Client) send(ctx context.Context, address, id string, wait time.Duration, req *fasthttp.Request) (*exchange, error) {
	conn, err := httpcall.Dial(ctx, address, dialTimeout)
	if err != nil {
		return nil, errors.WithStack(ErrNotSent{Cause: err})
	}
	x := &exchange{client: c, ctx: ctx, address: address, id: id, conn: conn, stop: context.AfterFunc(ctx, conn.Close)}
	if err := x.sendAndRead(wait, req); err != nil {
		defer x.close()
		return nil, x.broken(err)
	}
	return x, nil
}

func (x *exchange) sendAndRead(wait time.Duration, req *fasthttp.Request) (err error) {
	x.conn.SetWriteDeadline(time.Now().Add(queryTimeout))
	if err := x.conn.Send(req); err != nil {
		return err
	}
	x.extend(wait)
	x.answer, err = x.conn.ReadAnswer()
	return err
}

// extend bounds the time for the next reads anew.
func (x *exchange) extend(wait time.Duration) { x.conn.SetReadDeadline(time.Now().Add(wait)) }

// readBody reads the whole body, of at most maxBytes.
func (x *exchange) readBody(maxBytes int) (*httpcall.Body, error) {
	body, err := httpcall.ReadBody(x.answer.Body, maxBytes, x.client.opts.Memory)
	if err != nil {
		return nil, x.broken(err)
	}
	return body, nil
}

// broken returns the ErrBroken for an answer that failed, and logs it if the target has sent a part of it.
func (x *exchange) broken(err error) error {
	if x.conn.HasReceived() && x.ctx.Err() == nil && x.client.refused.Allow() {
		x.client.opts.Logger.LogAttrs(x.ctx, slog.LevelWarn, "answer of a target refused", slog.String("request", x.id), slog.String("target", x.address), slog.String("reason", err.Error()))
	}
	return errors.WithStack(ErrBroken{Cause: err})
}

// close closes the connection, which is never reused.
func (x *exchange) close() {
	x.stop()
	x.conn.Close()
}
