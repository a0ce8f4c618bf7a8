// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"havenwinch.dev/havenwinch/modules/httpcall"
)

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	Method string
	// Path includes the query.
	Path        string
	ContentType string
	ID          string
	Body        []byte
	Timeout     time.Duration
}

// ServiceAnswer is the complete answer of a plain service.
type ServiceAnswer struct {
	Code        int
	ContentType string
	// Length is the size of the body in bytes. Where the answer has none it is what the server declared,
	// negative if it declared nothing.
	Length int
	// Body must be closed, which ends its count as held.
	Body *httpcall.Body
}

// CallService sends a call once. It returns ErrNotSent if the service certainly did not
// receive the call, ErrBroken if it may have.
func (c *Client) CallService(ctx context.Context, address string, call ServiceCall) (*ServiceAnswer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(call.Method)
	req.SetRequestURI("http://" + address + call.Path)
	req.Header.Set("X-Request-Id", call.ID)
	if call.ContentType != "" {
		req.Header.SetContentType(call.ContentType)
	}
	req.SetBodyRaw(call.Body)
	x, err := c.send(ctx, address, call.ID, call.Timeout, req)
	if err != nil {
		return nil, err
	}
	defer x.close()
	body, err := x.readBody(maxServiceBody)
	if err != nil {
		return nil, err
	}
	return &ServiceAnswer{Code: x.answer.Status, ContentType: x.answer.Field("content-type"), Length: x.lengthOf(call.Method, body), Body: body}, nil
}

// lengthOf returns the length to declare for a body that was read.
func (x *exchange) lengthOf(method string, body *httpcall.Body) int {
	switch {
	case x.answer.HasBody(method):
		return body.Len()
	case x.answer.Sized:
		return int(x.answer.Length)
	default:
		return -1
	}
}
