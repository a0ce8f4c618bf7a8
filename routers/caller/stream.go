// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package caller

import (
	"bufio"
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// errIncomplete means that only a part of an answer could be sent. The connection is
// then closed without the final chunk, so that a client that doesn't look for [DONE]
// notices as well.
var errIncomplete = errors.New("the answer is incomplete")

// stream answers with what write writes. The body is terminated properly only if write
// returns nil; fasthttp's SetBodyStreamWriter would terminate every body properly.
// write runs after the handler has returned, so it must not use the request context.
func (c *Caller) stream(ctx *fasthttp.RequestCtx, write func(w *bufio.Writer) error) {
	ctx.SetContentType(contentStream)
	ctx.Response.ImmediateHeaderFlush = true
	c.running.Add(1)
	pr, pw := io.Pipe()
	go func() {
		defer c.running.Done()
		w := bufio.NewWriter(pw)
		err := write(w)
		if err == nil {
			err = w.Flush()
		}
		_ = pw.CloseWithError(err)
	}()
	ctx.SetBodyStream(pr, -1)
}
