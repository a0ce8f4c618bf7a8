// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package rig2

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// attempts numbers the attempts of all clients.
var attempts atomic.Int64

// NewAttempt returns an attempt id that was not used before.
func NewAttempt() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, attempts.Add(1))
}

// Request is what a client sends.
type Request struct {
	Method, Host, Path string
	Header             map[string]string
	Body               []byte
	Deadline           time.Duration
}

// Answer is what a client gets.
type Answer struct {
	Attempt string
	Status  int
	Header  http.Header
	Body    []byte
	// Whole is set if the whole answer has arrived.
	Whole bool
	Err   error
}

// IsServed reports whether an answer counts as a success: a 2xx with the signature and the whole body.
func (a Answer) IsServed() bool {
	return a.Whole && a.Status >= 200 && a.Status < 300 && a.Header.Get("Server-Signature") != ""
}

// RetryAfter returns the Retry-After time of an answer.
func (a Answer) RetryAfter() time.Duration {
	seconds, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second))
}

// Send sends one attempt to an address.
func Send(client *http.Client, address string, q Request) Answer {
	a := Answer{Attempt: NewAttempt()}
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+address+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		a.Err = err
		return a
	}
	r.Host = q.Host
	for name, value := range q.Header {
		r.Header.Set(name, value)
	}
	r.Header.Set("Attempt-Id", a.Attempt)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	resp, err := client.Do(r)
	if err != nil {
		a.Err = err
		return a
	}
	defer resp.Body.Close()
	a.Status, a.Header = resp.StatusCode, resp.Header
	a.Body, a.Err = io.ReadAll(resp.Body)
	a.Whole = a.Err == nil
	return a
}

// Log writes an answer to the record.
func (r *Record) Log(what, address string, a Answer) {
	r.Printf("%s %s to %s: status %d, signature %q, whole %v, %d bytes, retry after %q, error %v", what, a.Attempt, address, a.Status, a.Header.Get("Server-Signature"), a.Whole, len(a.Body), a.Header.Get("Retry-After"), a.Err)
}
