// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package engine is a client for model engines with an OpenAI-compatible HTTP API, and for
// servers of plain services. It never retries a request on its own: each generation and
// each service call uses a new connection, which is closed afterwards, and the retries of
// the HTTP library are disabled.
package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"havenwinch.dev/havenwinch/modules/bytebudget"
)

const (
	dialTimeout = time.Second
	// streamIdleTimeout is how long an engine may send nothing, before the first token
	// (while it queues and prefills the request) as well as between tokens.
	streamIdleTimeout = 2 * time.Minute
	// queryTimeout bounds short queries, and writing any request.
	queryTimeout = 2 * time.Second
	readBuffer   = 4096
	// maxLine is the maximum length of a line of a stream, in bytes.
	maxLine = 1 << 20
	// maxServiceBody is the maximum size of an answer of a plain service, in bytes.
	maxServiceBody = 64 << 20
)

// GenerateCall is a request for one generation.
type GenerateCall struct {
	// ID identifies the run at the engine.
	ID          string
	Scope       string
	Interactive bool
	Body        []byte
}

// Event is one event of a stream.
type Event struct {
	Sequence int
	// Data is the JSON of the event. The receiver may keep it.
	Data []byte
	// Usage is set in the last event before the end, nil in the others.
	Usage  *Usage
	Finish string
	// End is set for the engine's end-of-stream event, which has no data.
	End bool
}

// Usage is the number of tokens that the engine counted.
type Usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
}

// Total returns the number of tokens to bill.
func (u *Usage) Total() uint64 { return u.PromptTokens + u.CompletionTokens }

// RunState is the state of a run as its engine reports it. Known is false if the engine never
// received the run, or has forgotten it.
type RunState struct {
	Known            bool   `json:"known"`
	Ended            bool   `json:"ended"`
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
}

// ErrNotSent means that the connection failed before the request was sent, so that the
// target certainly did not receive it.
type ErrNotSent struct{ Cause error }

func (e ErrNotSent) Error() string { return "the target can't be reached: " + e.Cause.Error() }

// IsErrNotSent reports whether the cause of an error is an ErrNotSent.
func IsErrNotSent(err error) bool {
	_, ok := errors.Cause(err).(ErrNotSent)
	return ok
}

// IsErrRefused reports whether the target's machine refused the connection, that is,
// whether it is up but nothing listens at the address.
func IsErrRefused(err error) bool {
	e, ok := errors.Cause(err).(ErrNotSent)
	return ok && errors.Is(e.Cause, syscall.ECONNREFUSED)
}

// ErrStatus means that a target answered with an error status. NotRun is set if the engine
// rejected the request before running it.
type ErrStatus struct {
	Code   int
	NotRun bool
}

func (e ErrStatus) Error() string { return fmt.Sprintf("the target answered with status %d", e.Code) }

// ErrBroken means that a connection failed, or carried no answer, when the target may already have received
// the request.
type ErrBroken struct{ Cause error }

func (e ErrBroken) Error() string {
	return "the connection to the target broke: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e ErrBroken) Unwrap() error { return e.Cause }

// ErrWrongRun means that a stream contained an event of another run.
type ErrWrongRun struct{ Want, Got string }

func (e ErrWrongRun) Error() string {
	return fmt.Sprintf("the target sent an event of run %q in the stream of run %q", e.Got, e.Want)
}

// Options configure a Client.
type Options struct {
	// Memory is what the answers that the client holds are counted in; nil for no limit.
	Memory *bytebudget.Budget
	// Logger gets a line for each answer that is none, at a bounded rate.
	Logger *slog.Logger
}

// Client calls engines and services.
type Client struct {
	opts Options
	// refused bounds the rate of log lines.
	refused *rate.Limiter
	// queries is for short queries, which may share connections.
	queries *fasthttp.Client
}

// New returns a client.
func New(opts Options) *Client {
	return &Client{opts: opts, refused: rate.NewLimiter(refusedPerSecond, refusedBurst), queries: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		ReadTimeout:               queryTimeout,
		WriteTimeout:              queryTimeout,
		MaxResponseBodySize:       maxLine,
		Dial:                      dial,
		NoDefaultUserAgentHeader:  true,
	}}
}

func neverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

func dial(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, dialTimeout) }

// singleUseConn is a connection for one request. It uses the codec of the HTTP library but
// none of its clients, since each of these keeps connections and a goroutine.
type singleUseConn struct {
	conn        net.Conn
	reader      *bufio.Reader
	idleTimeout time.Duration
}

// newSingleUseConn dials a target. idleTimeout bounds the wait for each read. An error
// means that nothing was sent.
func newSingleUseConn(ctx context.Context, address string, idleTimeout time.Duration) (*singleUseConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.WithStack(ErrNotSent{Cause: err})
	}
	return &singleUseConn{conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), idleTimeout: idleTimeout}, nil
}

// Reach opens a connection to a target and closes it again.
func (c *Client) Reach(ctx context.Context, address string) error {
	s, err := newSingleUseConn(ctx, address, queryTimeout)
	if err != nil {
		return err
	}
	s.close()
	return nil
}

// do sends a request once and reads the response, or only its headers if the body is
// streamed.
func (s *singleUseConn) do(req *fasthttp.Request, resp *fasthttp.Response) error {
	req.SetConnectionClose()
	if err := s.conn.SetWriteDeadline(time.Now().Add(queryTimeout)); err != nil {
		return err
	}
	w := bufio.NewWriterSize(s.conn, readBuffer)
	if err := req.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	s.extendReadDeadline()
	return resp.ReadLimitBody(s.reader, maxServiceBody)
}

// extendReadDeadline restarts the idle timeout for the next read.
func (s *singleUseConn) extendReadDeadline() {
	_ = s.conn.SetReadDeadline(time.Now().Add(s.idleTimeout))
}

func (s *singleUseConn) close() { _ = s.conn.Close() }

// Stream is an answer that is being received.
type Stream struct {
	id    string
	conn  *singleUseConn
	resp  *fasthttp.Response
	lines *bufio.Reader
	stop  func() bool
	// last is the sequence number of the last event returned.
	last int
}

// Generate starts a run and returns its stream. The end of the context closes the
// connection. An engine that supports resuming treats that as a lost caller and goes on;
// only Cancel ends the run.
func (c *Client) Generate(ctx context.Context, address string, call GenerateCall) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + "/v1/chat/completions")
	req.Header.SetContentType("application/json")
	req.Header.Set("X-Request-Id", call.ID)
	req.Header.Set("X-Cache-Scope", call.Scope)
	if call.Interactive {
		req.Header.Set("X-Priority", "interactive")
	}
	req.SetBodyRaw(call.Body)
	return c.open(ctx, address, call.ID, 0, req)
}

// Resume opens the stream of a run again, behind the event with sequence number after.
func (c *Client) Resume(ctx context.Context, address, id string, after int) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + address + "/v1/streams/" + id)
	req.Header.Set("Last-Event-ID", strconv.Itoa(after))
	return c.open(ctx, address, id, after, req)
}

func (c *Client) open(ctx context.Context, address, id string, after int, req *fasthttp.Request) (*Stream, error) {
	s, err := newSingleUseConn(ctx, address, streamIdleTimeout)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, s.close)
	// The response does not come from the library's pool, since a reader may still
	// use it when the stream is closed by another goroutine.
	resp := &fasthttp.Response{StreamBody: true}
	if err := s.do(req, resp); err != nil {
		stop()
		s.close()
		return nil, errors.WithStack(ErrBroken{Cause: err})
	}
	if code := resp.StatusCode(); code != fasthttp.StatusOK {
		stop()
		s.close()
		return nil, errors.WithStack(ErrStatus{Code: code, NotRun: code >= 400 && code < 500})
	}
	return &Stream{id: id, conn: s, resp: resp, lines: bufio.NewReaderSize(resp.BodyStream(), readBuffer), stop: stop, last: after}, nil
}

// Close closes the connection, which is never reused.
func (s *Stream) Close() {
	s.stop()
	s.conn.close()
}

// wireChunk has the fields of an event that this package reads.
type wireChunk struct {
	ID      string `json:"id"`
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

// Next returns the next event. It skips events up to the one that the stream was resumed
// behind. It returns ErrBroken if the stream ends without the end-of-stream event.
func (s *Stream) Next() (Event, error) {
	event := Event{Sequence: s.last + 1}
	s.conn.extendReadDeadline()
	for {
		line, err := s.readLine()
		if err != nil {
			return event, errors.WithStack(ErrBroken{Cause: err})
		}
		field, value := splitField(line)
		switch field {
		case "id":
			if n, err := strconv.Atoi(string(value)); err == nil {
				event.Sequence = n
			}
		case "data":
			if string(value) == "[DONE]" {
				event.End = true
				return event, nil
			}
			if event.Sequence <= s.last {
				continue
			}
			return event, s.fill(&event, value)
		}
	}
}

func (s *Stream) fill(event *Event, data []byte) error {
	var c wireChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return errors.WithStack(ErrBroken{Cause: err})
	}
	if c.ID != s.id {
		return errors.WithStack(ErrWrongRun{Want: s.id, Got: c.ID})
	}
	s.last = event.Sequence
	event.Data = append([]byte(nil), data...)
	event.Usage = c.Usage
	if len(c.Choices) > 0 && c.Choices[0].FinishReason != nil {
		event.Finish = *c.Choices[0].FinishReason
	}
	return nil
}

func (s *Stream) readLine() ([]byte, error) {
	var line []byte
	for {
		part, more, err := s.lines.ReadLine()
		if err != nil {
			return nil, err
		}
		if line == nil && !more {
			return part, nil
		}
		line = append(line, part...)
		if len(line) > maxLine {
			return nil, errors.Errorf("a line is longer than %d bytes", maxLine)
		}
		if !more {
			return line, nil
		}
	}
}

func splitField(line []byte) (string, []byte) {
	for i, b := range line {
		if b == ':' {
			value := line[i+1:]
			if len(value) > 0 && value[0] == ' ' {
				value = value[1:]
			}
			return string(line[:i]), value
		}
	}
	return string(line), nil
}

// Cancel ends a run by its ID. An engine that has not received the run refuses the ID from
// then on.
func (c *Client) Cancel(ctx context.Context, address, id string) (RunState, error) {
	var state RunState
	err := c.query(ctx, fasthttp.MethodDelete, "http://"+address+"/v1/streams/"+id, &state)
	return state, err
}

// Status returns the state of a run by its ID.
func (c *Client) Status(ctx context.Context, address, id string) (RunState, error) {
	var state RunState
	err := c.query(ctx, fasthttp.MethodGet, "http://"+address+"/v1/streams/"+id+"/status", &state)
	return state, err
}

// Load is the load that an engine reports.
type Load struct {
	Running      int `json:"running"`
	Queued       int `json:"queued"`
	PromptQueued int `json:"prompt_queued"`
}

// Load queries the load of an engine.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	err := c.query(ctx, fasthttp.MethodGet, "http://"+address+"/load", &load)
	return load, err
}

// CacheEvents is a page of the cache events of an engine. A new epoch means a new cache.
type CacheEvents struct {
	Epoch  string       `json:"epoch"`
	Events []CacheEvent `json:"events"`
}

// CacheEvent is a cache event as encoded by the engine.
type CacheEvent struct {
	Sequence uint64 `json:"seq"`
	Op       string `json:"op"`
	Block    string `json:"block"`
}

// CacheEvents queries the cache events of an engine that follow a sequence number of an
// epoch.
func (c *Client) CacheEvents(ctx context.Context, address, epoch string, after uint64) (CacheEvents, error) {
	var page CacheEvents
	url := fmt.Sprintf("http://%s/cache/events?epoch=%s&after=%d", address, epoch, after)
	err := c.query(ctx, fasthttp.MethodGet, url, &page)
	return page, err
}

func (c *Client) query(ctx context.Context, method, url string, answer any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(url)
	if err := c.queries.DoDeadline(req, resp, deadlineOf(ctx)); err != nil {
		return errors.WithStack(ErrBroken{Cause: err})
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.WithStack(ErrStatus{Code: resp.StatusCode()})
	}
	return errors.WithStack(json.Unmarshal(resp.Body(), answer))
}
