// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
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
	Body        []byte
}

// CallService sends a call once. It returns ErrNotSent if the service certainly did not
// receive the call, ErrBroken if it may have.
func (c *Client) CallService(ctx context.Context, address string, call ServiceCall) (*ServiceAnswer, error) {
	s, err := newSingleUseConn(ctx, address, call.Timeout)
	if err != nil {
		return nil, err
	}
	defer s.close()
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(call.Method)
	req.SetRequestURI("http://" + address + call.Path)
	req.Header.Set("X-Request-Id", call.ID)
	if call.ContentType != "" {
		req.Header.SetContentType(call.ContentType)
	}
	req.SetBodyRaw(call.Body)
	if err := s.do(req, resp); err != nil {
		return nil, errors.WithStack(ErrBroken{Cause: err})
	}
	return &ServiceAnswer{
		Code:        resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        append([]byte(nil), resp.Body()...),
	}, nil
}
