// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"havenwinch.dev/havenwinch/modules/http1"
)

const (
	// maxStray bounds the answers to earlier calls that are passed over on one
	// connection, and strayBody the bytes of each.
	maxStray  = 4
	strayBody = 1 << 20
	// maxInterim bounds the interim answers before an answer.
	maxInterim = 8
)

// Kinds of failures of one exchange with a target.
var (
	// errNotSent says that no byte of the call has left.
	errNotSent = errors.New("the target could not be reached")
	// errNoAnswer says that the call may have run.
	errNoAnswer = errors.New("the target did not answer")
	// errHeldBack says that the call was not sent since targets end under it.
	errHeldBack = errors.New("the call is held back")
	// errForeign says that an answer is not one of a target.
	errForeign = errors.New("the answer was not made by the target")
)

// exchange is one call at one target.
type exchange struct {
	f    *Forwarder
	conn *conn
	call *Call
	// sent is when the call left.
	sent   time.Duration
	head   fasthttp.ResponseHeader
	stop   func() bool
	body   io.Reader
	framed bool
	// upload is closed once the body of the call has been written; nil when it
	// was written before the answer was read.
	upload chan struct{}
	whole  bool
}

// send writes the call. Its own fields come after those that are passed on. Every
// request to a target leaves here; errLimited says that it did not. The boot time is now.
func (f *Forwarder) send(ctx context.Context, c *conn, call *Call, own []Field, now time.Duration) (*exchange, error) {
	if err := f.take(c.target, call, now); err != nil {
		f.pool.put(c, 0)
		return nil, err
	}
	x := &exchange{f: f, conn: c, call: call, sent: now}
	c.before, c.carried = c.carried, call.name()
	x.stop = context.AfterFunc(ctx, c.close)
	head := writeHead(call, own)
	if len(call.Body) <= inlineBody {
		if _, err := c.Write(append(head, call.Body...)); err != nil {
			x.abandon()
			return nil, errors.Wrap(errNoAnswer, err.Error())
		}
		return x, nil
	}
	if _, err := c.Write(head); err != nil {
		x.abandon()
		return nil, errors.Wrap(errNoAnswer, err.Error())
	}
	// A target may answer before it has read a long body.
	x.upload = make(chan struct{})
	go func() {
		if _, err := c.Write(call.Body); err == nil {
			close(x.upload)
		}
	}()
	return x, nil
}

// inlineBody is the longest body that is written before the answer is read, in
// bytes; it fits any send buffer.
const inlineBody = 16 << 10

func writeHead(call *Call, own []Field) []byte {
	b := make([]byte, 0, 1024+len(call.Body))
	b = append(b, call.Method...)
	b = append(b, ' ')
	b = append(b, call.URI...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", call.Host)
	for _, f := range call.Fields {
		b = appendField(b, f.Name, f.Value)
	}
	for _, f := range own {
		b = appendField(b, f.Name, f.Value)
	}
	if len(call.Body) > 0 || call.Method != fasthttp.MethodGet && call.Method != fasthttp.MethodHead {
		b = appendField(b, "Content-Length", strconv.Itoa(len(call.Body)))
	}
	return append(b, "\r\n"...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// read reads the head of the answer and passes over answers to other calls.
func (x *exchange) read(id string) error {
	for stray := 0; ; stray++ {
		if err := x.readFinal(); err != nil {
			x.oddHead(err)
			return errors.Wrap(errNoAnswer, err.Error())
		}
		x.frame()
		echoed := string(x.head.Peek(x.f.opts.Dialect.RequestID))
		if echoed == id {
			x.heard()
			return nil
		}
		if echoed == "" {
			x.odd(oddUnnamed)
			// It may be a late one to an earlier call, and who signs an answer knows its id.
			if x.conn.before != "" || x.signed() {
				return errors.Wrap(errNoAnswer, "an answer came without the id of its call")
			}
			x.heard()
			return nil
		}
		x.conn.strays++
		x.odd(oddStray, slog.String("answers", echoed))
		if stray == maxStray || !x.framed {
			return errors.Wrap(errNoAnswer, "answers of other calls came in its place")
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(x.body, strayBody)); err != nil || n == strayBody {
			return errors.Wrap(errNoAnswer, "an answer of another call came in its place")
		}
	}
}

// readFinal reads the next head that is not one of an interim answer.
func (x *exchange) readFinal() error {
	for range maxInterim {
		if err := x.readHead(); err != nil {
			return err
		}
		if x.head.StatusCode() >= http.StatusOK {
			return nil
		}
	}
	return errors.Errorf("more than %d interim answers came", maxInterim)
}

func (x *exchange) readHead() error {
	head, err := http1.Peek(x.conn.reader)
	if err != nil {
		return err
	}
	if _, err := http1.CheckAnswer(head); err != nil {
		return err
	}
	x.head.Reset()
	x.head.SetNoDefaultContentType(true)
	if err := x.head.Read(x.conn.reader); err != nil {
		return err
	}
	return x.once(x.f.opts.Dialect.RequestID, x.f.opts.Dialect.Signature)
}

// signed tells whether a target has made the answer.
func (x *exchange) signed() bool { return len(x.head.Peek(x.f.opts.Dialect.Signature)) > 0 }

// once looks whether fields that say whose an answer is stand in it once at most.
func (x *exchange) once(fields ...string) error {
	for _, name := range fields {
		if len(x.head.PeekAll(name)) > 1 {
			return errors.Errorf("the answer has two fields %s", name)
		}
	}
	return nil
}

// odd notes an answer that is not as agreed, and what its connection has carried.
func (x *exchange) odd(form string, attrs ...slog.Attr) {
	attrs = append(attrs, slog.Int("status", x.head.StatusCode()), slog.Bool("signed", x.signed()),
		slog.Bool("reused", x.conn.reused), slog.String("before", x.conn.before))
	x.f.odd(x.call, x.conn.target, form, 0, nil, attrs...)
}

// oddHead notes a head that can't be read; a connection that was closed has none.
func (x *exchange) oddHead(err error) {
	if x.conn.closed || x.conn.reader.Buffered() == 0 {
		return
	}
	seen, _ := x.conn.reader.Peek(min(oddShown, x.conn.reader.Buffered()))
	x.f.odd(x.call, x.conn.target, oddHead, 0, seen, slog.String("reason", err.Error()), slog.Bool("reused", x.conn.reused), slog.String("before", x.conn.before))
}

// frame sets up how the body ends.
func (x *exchange) frame() {
	length := x.head.ContentLength()
	x.framed = true
	switch {
	case x.bodyless():
		// A target that sends one all the same would have it taken for the next head.
		x.framed = false
		x.body = strings.NewReader("")
	case length >= 0:
		x.body = &sized{r: x.conn.reader, left: int64(length)}
	case length == -1:
		x.body = &chunked{x: x, r: httputil.NewChunkedReader(x.conn.reader)}
	default:
		x.framed = false
		x.body = x.conn.reader
	}
}

// bodyless tells whether the answer has no body, whatever its head says of its length.
func (x *exchange) bodyless() bool {
	status := x.head.StatusCode()
	return x.call.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// length returns what the head that is passed on says of the length of a body that has been
// read; that of one that is left out is what the target says, negative when it doesn't.
func (x *exchange) length(body []byte) int {
	if x.bodyless() {
		return max(-1, x.head.ContentLength())
	}
	return len(body)
}

// sized reads a body of a known length; one that ends early is an error.
type sized struct {
	r    io.Reader
	left int64
}

func (s *sized) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > s.left {
		p = p[:s.left]
	}
	n, err := s.r.Read(p)
	s.left -= int64(n)
	if err == io.EOF && s.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunked reads a chunked body and the empty trailer after it.
type chunked struct {
	x *exchange
	r io.Reader
}

func (c *chunked) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	if err == io.EOF {
		var end [2]byte
		if _, short := io.ReadFull(c.x.conn.reader, end[:]); short != nil || string(end[:]) != "\r\n" {
			return n, io.ErrUnexpectedEOF
		}
	}
	return n, err
}

// abandon closes the connection; a target drops the call then.
func (x *exchange) abandon() {
	x.stop()
	x.f.pool.drop(x.conn)
}

// finish keeps the connection when the answer was whole and both sides allow.
func (x *exchange) finish() {
	if !x.stop() || !x.whole || !x.framed || x.head.ConnectionClose() || !x.uploaded() {
		x.f.pool.drop(x.conn)
		return
	}
	x.f.pool.put(x.conn, keepAlive(string(x.head.Peek("Keep-Alive"))))
}

func (x *exchange) uploaded() bool {
	if x.upload == nil {
		return true
	}
	select {
	case <-x.upload:
		return true
	default:
		return false
	}
}

// keepAlive reads the seconds of a Keep-Alive field, zero when it names none.
func keepAlive(value string) time.Duration {
	for _, part := range strings.Split(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(number))
		if strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// hopFields are the fields that belong to one connection only.
var hopFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true,
	"Te": true, "Trailer": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// IsHopField tells whether a field, in canonical case, belongs to one
// connection only.
func IsHopField(name string) bool { return hopFields[name] }

// fields returns the answer's fields that are passed on.
func (x *exchange) fields() []Field {
	var list []Field
	named := string(x.head.Peek("Connection"))
	for name, value := range x.head.All() {
		if key := string(name); !hopFields[key] && !isNamed(named, key) {
			list = append(list, Field{Name: key, Value: string(value)})
		}
	}
	return list
}

// isNamed tells whether a Connection field names a field.
func isNamed(list, field string) bool {
	if list == "" {
		return false
	}
	for _, name := range strings.Split(list, ",") {
		if strings.EqualFold(strings.TrimSpace(name), field) {
			return true
		}
	}
	return false
}
