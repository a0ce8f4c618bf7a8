// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forward

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"havenwinch.dev/havenwinch/modules/http1"
)

const (
	// maxStray limits how many answers to earlier calls are skipped on one connection,
	// maxStrayBody the size of each in bytes.
	maxStray     = 4
	maxStrayBody = 1 << 20
	// maxInterim limits the interim (1xx) answers before the final one.
	maxInterim = 8
)

var (
	// errNotSent means that no byte of the call was sent.
	errNotSent = errors.New("the target could not be reached")
	// errNoAnswer means that the call was sent and may have run.
	errNoAnswer = errors.New("the target did not answer")
	// errGivenUp means that a call goes on at another target as its own is silent or sends bytes
	// without end that are no answer.
	errGivenUp = errors.New("the target is silent or sends no answer, and the call goes on at another one")
	// errNotNeeded means that a call was taken back from a target.
	errNotNeeded = errors.New("the target that had the stream before has answered, or the call has ended")
	// errQuarantined means that the call was not sent because targets crash while they run it.
	errQuarantined = errors.New("the call is quarantined")
	// errNotSigned means that the answer was not produced by a target, or has a content encoding.
	errNotSigned = errors.New("the answer is not signed by the target or has a content encoding")
)

// exchange is one request to one target and its answer.
type exchange struct {
	f    *Forwarder
	conn *conn
	call *Call
	// sent is when the request was sent, on the boot clock.
	sent         time.Duration
	head         fasthttp.ResponseHeader
	stopWatching func() bool
	body         io.Reader
	// framed is set if the header tells where the body ends other than by closing the connection.
	framed bool
	// upload is the write of a long body, beside the read of the answer; nil if the body was written
	// before that.
	upload *upload
	// bodyComplete is set once the body was read to its end.
	bodyComplete bool
	// lineWait limits the time for the rest of a size line of a chunk, once its first byte has
	// arrived; zero for no limit. onSlowLine is called when it is over, and returns true if the read
	// is to fail with errGivenUp.
	lineWait   time.Duration
	onSlowLine func() bool
}

// guardLine limits the time of the read of a size line.
func (x *exchange) guardLine(read func() error) error {
	if x.onSlowLine == nil {
		return read()
	}
	x.conn.awaitBytes(x.lineWait, x.onSlowLine)
	defer x.conn.awaitForever()
	return read()
}

// send writes the request: the relayed fields, then added. All requests to targets go through
// here. It returns errLimited, without sending, when the rate limit is used up. now is the boot
// time.
func (f *Forwarder) send(ctx context.Context, c *conn, call *Call, added []Field, now time.Duration) (*exchange, error) {
	if err := f.countRequest(c.target, call, now); err != nil {
		f.pool.put(c, 0)
		return nil, err
	}
	x := &exchange{f: f, conn: c, call: call, sent: now}
	c.previousCall, c.lastCall = c.lastCall, call.name()
	c.headBegan.Store(0)
	c.pacedAt.Store(0)
	x.stopWatching = context.AfterFunc(ctx, c.close)
	head := writeHead(call, added)
	if len(call.Body) <= maxInlineBody {
		if err := x.writeCall(ctx, head); err != nil {
			x.abandon()
			return nil, errors.Wrap(errNoAnswer, err.Error())
		}
		return x, nil
	}
	if _, err := c.Write(head); err != nil {
		x.abandon()
		return nil, errors.Wrap(errNoAnswer, err.Error())
	}
	if len(call.Body) > windowBody {
		limitUnacked(c.net, 0)
	}
	// A target may answer before it has read all of a long body.
	x.startUpload(ctx)
	return x, nil
}

// maxInlineBody is the longest body, in bytes, that is written before the answer is read; it
// fits into any send buffer.
const maxInlineBody = 16 << 10

func writeHead(call *Call, added []Field) []byte {
	b := make([]byte, 0, 1024+len(call.Body))
	b = append(b, call.Method...)
	b = append(b, ' ')
	b = append(b, call.URI...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", call.Host)
	for _, f := range call.Fields {
		b = appendField(b, f.Name, f.Value)
	}
	for _, f := range added {
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

// read reads the header of the answer to the call id and skips answers to other calls.
func (x *exchange) read(id string) error {
	defer x.limitHead()()
	for stray := 0; ; stray++ {
		if err := x.readFinal(); err != nil {
			x.logUnreadableHead(err)
			return errors.Wrap(errNoAnswer, err.Error())
		}
		x.setBody()
		echoed := string(x.head.Peek(x.f.opts.Dialect.RequestID))
		if echoed == id {
			x.readLimit()
			x.readRejectionLimit()
			return nil
		}
		if echoed == "" {
			x.logAnomaly(anomalyNoID)
			// It may be a late answer to an earlier call, and a target that signs an answer
			// knows the call's id.
			if x.conn.previousCall != "" || x.isSigned() {
				return errors.Wrap(errNoAnswer, "received an answer without the id of its call")
			}
			x.readLimit()
			x.readRejectionLimit()
			return nil
		}
		x.conn.strayAnswers++
		x.logAnomaly(anomalyStray, slog.String("answers", echoed))
		if stray == maxStray || !x.framed {
			return errors.Wrap(errNoAnswer, "received answers to other calls instead")
		}
		x.conn.trickle.isSkipping = true
		if n, err := io.Copy(io.Discard, io.LimitReader(x.body, maxStrayBody)); err != nil || n == maxStrayBody {
			return errors.Wrap(errNoAnswer, "received an answer to another call that is incomplete or too long")
		}
	}
}

// readFinal reads the next header that is not one of an interim answer.
func (x *exchange) readFinal() error {
	for range maxInterim {
		if err := x.readHead(); err != nil {
			return err
		}
		if x.head.StatusCode() >= http.StatusOK {
			return nil
		}
		x.conn.headBegan.Store(0)
	}
	return errors.Errorf("received more than %d interim answers", maxInterim)
}

func (x *exchange) readHead() error {
	x.conn.trickle.nextHead()
	if _, err := x.conn.reader.Peek(1); err != nil {
		return err
	}
	x.conn.headBegan.CompareAndSwap(0, int64(x.f.opts.Clock.Boot()))
	head, err := http1.PeekHead(x.conn.reader)
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
	return x.checkSingle(x.f.opts.Dialect.RequestID, x.f.opts.Dialect.Signature)
}

// isSigned reports whether the answer was produced by a target.
func (x *exchange) isSigned() bool { return len(x.head.Peek(x.f.opts.Dialect.Signature)) > 0 }

// checkSingle returns an error if any of the fields, which identify the answer, is repeated.
func (x *exchange) checkSingle(fields ...string) error {
	for _, name := range fields {
		if len(x.head.PeekAll(name)) > 1 {
			return errors.Errorf("the answer repeats the header field %s", name)
		}
	}
	return nil
}

// logAnomaly logs an answer that violates the protocol, with the history of its connection.
func (x *exchange) logAnomaly(form string, attrs ...slog.Attr) {
	attrs = append(attrs, slog.Int("status", x.head.StatusCode()), slog.Bool("signed", x.isSigned()),
		slog.Bool("reused", x.conn.reused), slog.String("before", x.conn.previousCall))
	x.f.logAnomaly(x.call, x.conn.target, form, 0, nil, attrs...)
}

// logUnreadableHead logs a header that can't be parsed; there is none if the connection was
// closed.
func (x *exchange) logUnreadableHead(err error) {
	if x.conn.closed || x.conn.reader.Buffered() == 0 {
		return
	}
	seen, _ := x.conn.reader.Peek(min(maxLoggedBytes, x.conn.reader.Buffered()))
	x.f.logAnomaly(x.call, x.conn.target, anomalyHead, 0, seen, slog.String("reason", err.Error()), slog.Int("bytes", x.conn.reader.Buffered()), slog.Bool("reused", x.conn.reused), slog.String("before", x.conn.previousCall))
}

// logBrokenBody logs a body that ends with err if its framing is invalid or did not end in time. events
// and size are the number of events and of bytes of the body before.
func (x *exchange) logBrokenBody(err error, events uint64, size int) {
	if !http1.IsErrMalformedChunk(err) && !errors.Is(err, errGivenUp) {
		return
	}
	seen, _ := x.conn.reader.Peek(min(maxLoggedBytes, x.conn.reader.Buffered()))
	x.f.logAnomaly(x.call, x.conn.target, anomalyChunk, events, seen, slog.String("reason", err.Error()), slog.Int("bytes", size))
}

// logEnd logs what ended the body of an answer without a length, or of one that came before the request
// had been written. events is the number of events before.
func (x *exchange) logEnd(err error, events uint64) {
	if x.framed && x.isUploaded() {
		return
	}
	attrs := append([]slog.Attr{
		slog.String("request", x.call.ID), slog.String("target", x.conn.target.ID), slog.Int("status", x.head.StatusCode()), slog.Bool("framed", x.framed),
		slog.Uint64("events", events), slog.Uint64("received", x.conn.received), slog.String("end", err.Error()),
	}, x.uploadAttrs()...)
	x.f.opts.Logger.LogAttrs(context.Background(), slog.LevelInfo, "early or unframed answer ended", attrs...)
}

// setBody sets up the body reader from the framing in the header.
func (x *exchange) setBody() {
	length := x.head.ContentLength()
	x.framed = true
	switch {
	case x.hasNoBody():
		// If the target sends a body all the same, its bytes must not be read as the next
		// header.
		x.framed = false
		x.body = strings.NewReader("")
	case length >= 0:
		x.body = &sizedBody{r: x.conn.reader, left: int64(length)}
	case length == -1:
		x.body = http1.NewChunkedReader(x.conn.reader, x.guardLine)
	default:
		x.framed = false
		x.body = &unframedBody{x}
	}
}

// endConfirmer is a connection that tells after its end whether the peer has rejected a part of what was sent
// to it. sent returns how many bytes have been written so far, and whether that is all.
type endConfirmer interface {
	ConfirmEnd(sent func() (bytes int64, all bool)) error
}

// unframedBody reads a body that ends with its connection. It is whole only if its target has not rejected a part
// of the request.
type unframedBody struct{ x *exchange }

func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.x.conn.reader.Read(p)
	if c, ok := b.x.conn.net.(endConfirmer); ok && err == io.EOF {
		if failed := c.ConfirmEnd(b.x.uploaded); failed != nil {
			return n, failed
		}
	}
	return n, err
}

// hasNoBody reports whether the answer has no body, whatever length its header declares.
func (x *exchange) hasNoBody() bool {
	status := x.head.StatusCode()
	return x.call.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// declaredLength returns the Content-Length to declare to the caller for a body that has been
// read. Where the answer has no body it is the one that the target declared, negative for none.
func (x *exchange) declaredLength(body []byte) int {
	if x.hasNoBody() {
		return max(-1, x.head.ContentLength())
	}
	return len(body)
}

// sizedBody reads a body of known length; a short body is an error.
type sizedBody struct {
	r    io.Reader
	left int64
}

func (s *sizedBody) Read(p []byte) (int, error) {
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

// abandon closes the connection, which makes the target cancel the call.
func (x *exchange) abandon() {
	x.stopWatching()
	x.f.pool.drop(x.conn)
}

// finish returns the connection to the pool if the answer was complete and both sides allow
// reuse.
func (x *exchange) finish() {
	if !x.stopWatching() || !x.bodyComplete || !x.framed || x.head.ConnectionClose() || !x.isUploaded() {
		x.f.pool.drop(x.conn)
		return
	}
	if len(x.call.Body) > windowBody {
		limitUnacked(x.conn.net, unackedLimit)
	}
	x.f.pool.put(x.conn, keepAlive(string(x.head.Peek("Keep-Alive"))))
}

// keepAlive parses the timeout of a Keep-Alive field; 0 when there is none.
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

// hopFields are the hop-by-hop header fields, in canonical case.
var hopFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true,
	"Te": true, "Trailer": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// IsHopField reports whether a header field, in canonical case, is hop-by-hop.
func IsHopField(name string) bool { return hopFields[name] }

// fields returns the header fields of the answer that are relayed.
func (x *exchange) fields() []Field {
	var list []Field
	named := string(x.head.Peek("Connection"))
	for name, value := range x.head.All() {
		if key := string(name); !hopFields[key] && !listsField(named, key) {
			list = append(list, Field{Name: key, Value: string(value)})
		}
	}
	return list
}

// listsField reports whether a Connection field lists the given field.
func listsField(list, field string) bool {
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
