// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// maxQueryBody is the maximum size of an answer to a query, in bytes.
const maxQueryBody = 1 << 20

// query sends a query and parses the body of its answer. id names it in the log.
func (c *Client) query(ctx context.Context, method, address, path, id string, parse func(body []byte) error) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	return c.ask(ctx, address, id, req, func(status int, body []byte) error {
		if status != fasthttp.StatusOK {
			return ErrStatus{Code: status}
		}
		return parse(body)
	})
}

// ask sends a request and takes the whole of its answer, within queryTimeout.
func (c *Client) ask(ctx context.Context, address, id string, req *fasthttp.Request, take func(status int, body []byte) error) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	x, err := c.send(ctx, address, id, queryTimeout, req)
	if err != nil {
		return err
	}
	defer x.close()
	body, err := x.readBody(maxQueryBody)
	if err != nil {
		return err
	}
	defer body.Close()
	err = take(x.answer.Status, body.Bytes())
	if _, ok := err.(ErrStatus); ok || err == nil {
		return errors.WithStack(err)
	}
	return x.broken(err)
}

// errNoField is the error for a body without the field that each of its kind has.
func errNoField(name string) error { return errors.Errorf("the body has no field %q", name) }

func (r *RunState) parse(body []byte) error {
	var wire struct {
		RunState
		Known *bool `json:"known"`
	}
	if err := json.Unmarshal(body, &wire); err != nil {
		return err
	}
	// Without it a run would be taken for unknown, and started again.
	if wire.Known == nil {
		return errNoField("known")
	}
	*r = wire.RunState
	r.Known = *wire.Known
	return nil
}

func (l *Load) parse(body []byte) error {
	var wire struct {
		Load
		Running *int `json:"running"`
	}
	if err := json.Unmarshal(body, &wire); err != nil {
		return err
	}
	if wire.Running == nil {
		return errNoField("running")
	}
	*l = wire.Load
	l.Running = *wire.Running
	return nil
}

func (p *CacheEvents) parse(body []byte) error {
	var wire struct {
		CacheEvents
		Epoch *string `json:"epoch"`
	}
	if err := json.Unmarshal(body, &wire); err != nil {
		return err
	}
	if wire.Epoch == nil {
		return errNoField("epoch")
	}
	*p = wire.CacheEvents
	p.Epoch = *wire.Epoch
	return nil
}
