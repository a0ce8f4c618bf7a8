// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"havenwinch.dev/havenwinch/modules/httpcall"
	"havenwinch.dev/havenwinch/structs"
)

const (
	requestTimeout = 15 * time.Second
	dialTimeout    = 3 * time.Second
	// maxAnswer is the maximum size of an answer in bytes.
	maxAnswer = 64 << 20
)

// client calls the admin API of one or more boxes.
type client struct {
	boxes []string
	key   string
}

func newClient(c *cli.Command) *client {
	var boxes []string
	for _, list := range c.StringSlice("admin") {
		boxes = append(boxes, strings.Split(list, ",")...)
	}
	return &client{boxes: boxes, key: c.String("operator-key")}
}

// do sends a request to one box and decodes its JSON answer. The statuses in accept
// are decoded into answer like 200; the answer to a refused command needs this.
func (c *client) do(box, method, path string, body, answer any, accept ...int) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + box + path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		req.SetBody(data)
	}
	status, data, err := ask(box, req)
	if err != nil {
		return &failure{code: exitUnreachable, message: fmt.Sprintf("box %s can't be reached (%v): check --admin", box, err)}
	}
	if status == fasthttp.StatusOK || slices.Contains(accept, status) {
		return json.Unmarshal(data, answer)
	}
	return refusal(status, data)
}

// ask sends a request and reads the whole of its answer, within requestTimeout.
func ask(address string, req *fasthttp.Request) (status int, data []byte, err error) {
	conn, answer, err := open(address, req, time.Now().Add(requestTimeout))
	if err != nil {
		return 0, nil, err
	}
	defer conn.Close()
	data, err = readBody(answer)
	return answer.Status, data, err
}

// open sends a request and reads the head of its answer. The zero deadline is none.
func open(address string, req *fasthttp.Request, deadline time.Time) (*httpcall.Conn, *httpcall.Answer, error) {
	conn, err := httpcall.DialURL(context.Background(), "http://"+address, dialTimeout)
	if err != nil {
		return nil, nil, err
	}
	conn.SetDeadline(deadline)
	err = conn.Send(req)
	if err == nil {
		var answer *httpcall.Answer
		if answer, err = conn.ReadAnswer(); err == nil {
			return conn, answer, nil
		}
	}
	conn.Close()
	return nil, nil, err
}

func readBody(answer *httpcall.Answer) ([]byte, error) {
	body, err := httpcall.ReadBody(answer.Body, maxAnswer, nil)
	if err != nil {
		return nil, err
	}
	return body.Bytes(), nil
}

// refusal converts an error answer into a failure.
func refusal(status int, data []byte) error {
	var e structs.ErrorBody
	if err := json.Unmarshal(data, &e); err != nil || e.Error.Kind == "" {
		return &failure{code: exitError, message: fmt.Sprintf("status %d: %s", status, data)}
	}
	return refusalOf(e.Error)
}

// refusalOf returns the failure for an error of the API. Its exit code tells a refusal
// from an unknown outcome.
func refusalOf(e structs.Error) error {
	code := exitRefused
	if e.Run == structs.RunUnknown {
		code = exitUnknown
	}
	message := fmt.Sprintf("%s: %s (run: %s", e.Kind, e.Message, e.Run)
	if e.RetryAfter > 0 {
		message += fmt.Sprintf(", ask again in %gs", e.RetryAfter)
	}
	return &failure{code: code, message: message + ")"}
}

// firstAnswer asks the boxes in turn until one gives a definite answer. Commands carry
// numbers, so it is safe to send one to several boxes.
func (c *client) firstAnswer(ask func(box string) error) error {
	var err error
	for _, box := range c.boxes {
		err = ask(box)
		f, ok := err.(*failure)
		if !ok || (f.code != exitUnreachable && f.code != exitUnknown) {
			return err
		}
	}
	return err
}

func (c *client) command(cmd structs.Command) (structs.CommandResult, error) {
	var result structs.CommandResult
	err := c.firstAnswer(func(box string) error {
		return c.do(box, fasthttp.MethodPost, "/admin/v1/commands", cmd, &result, fasthttp.StatusConflict)
	})
	return result, err
}

func (c *client) query(text string) (structs.QueryResult, error) {
	var result structs.QueryResult
	err := c.firstAnswer(func(box string) error {
		return c.do(box, fasthttp.MethodGet, "/admin/v1/query?q="+url.QueryEscape(text), nil, &result)
	})
	return result, err
}

func printJSON(w io.Writer, v any) {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
}

func printTable(columns []string, rows [][]string) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(columns, "\t")))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}
