// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package caller

import (
	"bufio"
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// errNotWhole says that an answer broke off. The connection is closed without the last
// chunk then, so that a client that does not look for the end mark sees it too.
var errNotWhole = errors.New("the answer is not whole")

// stream answers with what write writes, and ends the body well only when write returns
// nil. The library's own writer of streams ends each body well. write runs after the handler has returned, so it uses nothing of its context.
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
