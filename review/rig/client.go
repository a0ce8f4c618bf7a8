// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Request is a request of a client, sent over a new connection.
type Request struct {
	ID, Method, Host, Path string
	Fields                 []string
	Body                   string
	Limit                  time.Duration
}

// Answer is what a client got. Status is 0 without an answer; Whole says that the answer was complete.
type Answer struct {
	Status    int
	Signature string
	Body      string
	Whole     bool
	First     time.Duration
	Took      time.Duration
	Err       error
}

var attempts atomic.Uint64

// NewID returns the id of an attempt.
func NewID() string { return fmt.Sprintf("%016x", uint64(0x9c41d07b00000000)+attempts.Add(1)) }

// Send sends a request to an entry box and reads the answer.
func Send(b *Box, q Request) (a Answer) {
	began := time.Now()
	defer func() { a.Took = time.Since(began) }()
	c, err := net.DialTimeout("tcp4", CallerAddress(b), time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(began.Add(q.Limit))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n", q.Method, q.Path, q.Host, q.ID, q.Limit.Milliseconds(), len(q.Body))
	for _, f := range q.Fields {
		head += f + "\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"+q.Body); err != nil {
		return Answer{Err: err}
	}
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	a.Status, a.Signature = resp.StatusCode, resp.Header.Get("Server-Signature")
	var body strings.Builder
	buffer := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 && a.First == 0 {
			a.First = time.Since(began)
		}
		body.Write(buffer[:n])
		if err == io.EOF {
			a.Whole = true
			break
		}
		if err != nil {
			a.Err = err
			break
		}
	}
	a.Body = body.String()
	return a
}
