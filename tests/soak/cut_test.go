// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"havenwinch.dev/havenwinch/tests/observe"
)

const (
	// logLag bounds the time between a box's log line and the end of the connection at the caller.
	logLag = 2 * time.Second
)

// connEnd is how a connection ended before the answer to a request was complete.
type connEnd int

const (
	// endNone is for a complete answer and for a caller that gave up.
	endNone connEnd = iota
	// endOrderly is an end by a box that had received all bytes of the request. A box that closes a
	// connection with bytes unread resets it, so this one had read them.
	endOrderly
	// endCrossed is an end by a box that closed the connection before it received the request.
	endCrossed
	// endReset is a reset. The box may have read the request or not.
	endReset
)

func (e connEnd) String() string {
	return [...]string{"none", "orderly end", "end that the request crossed", "reset"}[e]
}

// connEndOf returns how a connection ended whose reader returned err. It must be called before the
// connection is closed.
func connEndOf(conn net.Conn, err error) connEnd {
	cause := err
	var truncated observe.ErrTruncated
	if errors.As(err, &truncated) {
		cause = truncated.Cause
	}
	switch {
	case errors.Is(cause, syscall.ECONNRESET) || errors.Is(cause, syscall.EPIPE):
		return endReset
	case !errors.Is(cause, io.EOF):
		return endNone
	case unacknowledged(conn) > 0:
		return endCrossed
	}
	return endOrderly
}

// unacknowledged returns the number of sent bytes that the other side has not acknowledged. The end of
// a connection acknowledges all bytes that were received before it.
func unacknowledged(conn net.Conn) int {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return n
}

// cutRequest is a request that was sent whole and whose connection ended before the answer was complete.
type cutRequest struct {
	id, route, box string
	// local is the caller's address.
	local string
	// bytes is the size of the request.
	bytes int
	// sentAt is before the first and wholeAt after the last byte was sent; endedAt is the end of the
	// connection.
	sentAt, wholeAt, endedAt time.Time
	end                      connEnd
	// begun is true if the caller received the status of the answer.
	begun bool
}

// recordEnd records a request if err, with which its answer ended, is an end of its connection.
func (p *platform) recordEnd(conn net.Conn, r cutRequest, err error) {
	if r.end = connEndOf(conn, err); r.end == endNone {
		return
	}
	r.local = conn.LocalAddr().String()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = append(p.cut, r)
}

// checkCut checks why requests got no complete answer from boxes that ran all the time.
func (tb *testbed) checkCut(t *testing.T) {
	t.Helper()
	tb.platform.mu.Lock()
	list := slices.Clone(tb.platform.cut)
	tb.platform.mu.Unlock()
	logs, ends := map[string]*connectionLog{}, map[string]int{}
	defer func() { t.Logf("ends of connections before a complete answer: %v", ends) }()
	for _, r := range list {
		i := slices.IndexFunc(tb.boxes, func(b *box) bool { return b.name == r.box })
		if i < 0 || tb.boxes[i].wasDown(r.sentAt, r.endedAt) {
			ends["box down"]++
			continue
		}
		// The box's log calls what it breaks off as its time for a stop runs out left by its caller, too.
		if tb.platform.disruptions.hasWorker(r.id) && tb.boxes[i].brokeOffAtStop(r.wholeAt, r.endedAt) {
			ends["broken off at the end of a stop"]++
			continue
		}
		if r.begun {
			ends["within the answer"]++
		} else {
			ends[r.end.String()]++
		}
		if logs[r.box] == nil {
			logs[r.box] = readConnectionLog(tb.boxes[i].logText())
		}
		if logs[r.box].left[r.id] {
			tb.platform.recordViolation("request %s (%s) was given up at %s after %s as if its caller had left, which saw an %s", r.id, r.route, r.box, r.endedAt.Sub(r.sentAt), r.end)
		}
		if why := tb.whyOwed(r, logs[r.box]); why != "" {
			tb.platform.recordViolation("request %s (%s) over %s got no answer at %s: %s %s after its last byte, sent %s; %s", r.id, r.route, r.local, r.box, r.end, r.endedAt.Sub(r.wholeAt), r.wholeAt.Format("15:04:05.000"), why)
		}
	}
}

// whyOwed returns why the box owed an answer to a request that got none, or "" if it didn't.
func (tb *testbed) whyOwed(r cutRequest, l *connectionLog) string {
	switch {
	case r.begun || r.endedAt.Sub(r.sentAt) > nearTimeout:
		// An answer that was begun is checked as a truncation.
		return ""
	case tb.platform.disruptions.hasWorker(r.id):
		return "a server had received it"
	case r.end == endOrderly || l.dropped(r):
		return "the box had read it"
	case r.end == endReset && r.endedAt.Sub(r.wholeAt) > lossSlack:
		return "the box left it for too long"
	}
	return ""
}

// span is a period; one without an end has not ended yet.
type span struct{ from, to time.Time }

// recordDown records that the process is killed or paused from now on. b.mu must be held.
func (b *box) recordDown() {
	if n := len(b.downs); n == 0 || !b.downs[n-1].to.IsZero() {
		b.downs = append(b.downs, span{from: time.Now()})
	}
}

// recordUp records that the process goes on or has ended. b.mu must be held.
func (b *box) recordUp() {
	if n := len(b.downs); n > 0 && b.downs[n-1].to.IsZero() {
		b.downs[n-1].to = time.Now()
	}
}

// recordSignal records what a signal to the process does. b.mu must be held.
func (b *box) recordSignal(s syscall.Signal) {
	switch s {
	case syscall.SIGKILL:
		b.killed = true
		b.recordDown()
	case syscall.SIGSTOP:
		b.recordDown()
	case syscall.SIGCONT:
		if !b.killed {
			b.recordUp()
		}
	case syscall.SIGTERM:
		if !b.stopping {
			b.stopping, b.stops = true, append(b.stops, time.Now())
		}
	}
}

// recordExit records the exit of the process. b.mu must be held.
func (b *box) recordExit() {
	b.killed, b.stopping = false, false
	b.recordUp()
}

// wasDown reports whether the process was killed or paused at any time between the two.
func (b *box) wasDown(from, to time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.downs, func(s span) bool {
		return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
	})
}

// brokeOffAtStop reports whether a request sent at a time may have been broken off as the time for a
// stop ran out.
func (b *box) brokeOffAtStop(sent, ended time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.stops, func(at time.Time) bool {
		return sent.Before(at.Add(earlyInStop)) && ended.After(at.Add(lateInStop)) && ended.Before(at.Add(stopLimit+logLag))
	})
}

// connectionLog has what a box's log says about ended connections.
type connectionLog struct {
	// left has the ids of the requests whose caller had left, as the box saw it.
	left map[string]bool
	// drops are the requests' bytes that were read and dropped with their connection.
	drops []droppedBytes
}

type droppedBytes struct {
	at     time.Time
	caller string
	bytes  int
}

func readConnectionLog(text string) *connectionLog {
	l := &connectionLog{left: map[string]bool{}}
	for line := range strings.Lines(text) {
		var e struct {
			Time    time.Time `json:"time"`
			Outcome string    `json:"outcome"`
			Request string    `json:"request"`
			Caller  string    `json:"caller"`
			Bytes   int       `json:"bytes"`
		}
		isLeft := strings.Contains(line, `"outcome":"caller left"`)
		if !isLeft && !strings.Contains(line, `"outcome":"bytes of a request dropped"`) || json.Unmarshal([]byte(line), &e) != nil {
			continue
		}
		if isLeft {
			l.left[e.Request] = true
		} else {
			l.drops = append(l.drops, droppedBytes{at: e.Time, caller: e.Caller, bytes: e.Bytes})
		}
	}
	return l
}

// dropped reports whether the box read the whole request and dropped it.
func (l *connectionLog) dropped(r cutRequest) bool {
	return slices.ContainsFunc(l.drops, func(d droppedBytes) bool {
		return d.caller == r.local && d.bytes >= r.bytes && d.at.After(r.sentAt.Add(-logLag)) && d.at.Before(r.endedAt.Add(logLag))
	})
}

// serveOnce plays a box that serves one connection and closes it.
func serveOnce(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		if conn, err := l.Accept(); err == nil {
			serve(conn)
			_ = conn.Close()
		}
	}()
	return l.Addr().String()
}

// waitForSocket waits until what a system call says about a connection holds.
func waitForSocket(conn net.Conn, holds func(fd int) bool) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return
	}
	for done := false; !done; time.Sleep(time.Millisecond) {
		if raw.Control(func(fd uintptr) { done = holds(int(fd)) }) != nil {
			return
		}
	}
}

// playBox returns a testbed with a played box that serves one connection, and has got the signals by the
// time it closes it.
func playBox(t *testing.T, serve func(net.Conn), signals []syscall.Signal) *testbed {
	t.Helper()
	b := &box{name: "entry-1"}
	tb := &testbed{fleet: &fleet{boxes: []*box{b}}, platform: newPlatform(nil)}
	address := serveOnce(t, func(conn net.Conn) {
		serve(conn)
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, s := range signals {
			b.recordSignal(s)
		}
	})
	tb.all = &callerPool{platform: tb.platform, entries: []string{address}, names: []string{b.name}}
	return tb
}

func TestRequestsWithoutAnAnswerAreFound(t *testing.T) {
	read := func(conn net.Conn) { _, _ = conn.Read(make([]byte, 4096)) }
	closedBefore := func(net.Conn) {}
	unread := func(conn net.Conn) {
		waitForSocket(conn, func(fd int) bool {
			n, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
			return err != nil || n > 0
		})
	}
	answer := func(text string) func(net.Conn) {
		return func(conn net.Conn) {
			read(conn)
			_, _ = io.WriteString(conn, text)
		}
	}
	silent := func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }
	handed := func(tb *testbed, r *cutRequest) { tb.platform.disruptions.recordWorker(r.id, "i-1") }
	disturbed := func(tb *testbed, r *cutRequest) {
		handed(tb, r)
		tb.platform.disruptions.recordFault("i-1", time.Second)
	}
	down := func(from, to time.Duration) func(*testbed, *cutRequest) {
		return func(tb *testbed, r *cutRequest) {
			tb.boxes[0].downs = []span{{from: r.sentAt.Add(from), to: r.sentAt.Add(to)}}
		}
	}
	// stopping moves the stop and the request's last byte back from the end of the connection.
	stopping := func(stop, whole time.Duration, do func(*testbed, *cutRequest)) func(*testbed, *cutRequest) {
		return func(tb *testbed, r *cutRequest) {
			r.wholeAt, r.sentAt = r.endedAt.Add(-whole), r.endedAt.Add(-whole)
			tb.boxes[0].stops = []time.Time{r.endedAt.Add(-stop)}
			if do != nil {
				do(tb, r)
			}
		}
	}
	dropped := func(more int, caller string) func(*testbed, *cutRequest) {
		return func(tb *testbed, r *cutRequest) {
			if caller == "" {
				caller = r.local
			}
			fmt.Fprintf(&tb.boxes[0].log, "{\"time\":%q,\"msg\":\"connection closed\",\"outcome\":\"bytes of a request dropped\",\"bytes\":%d,\"caller\":%q}\n", time.Now().Format(time.RFC3339Nano), r.bytes+more, caller)
		}
	}
	left := func(tb *testbed, r *cutRequest) {
		fmt.Fprintf(&tb.boxes[0].log, "{\"msg\":\"request failed\",\"request\":%q,\"outcome\":\"caller left\"}\n", r.id)
	}
	// after moves the request's last byte back from the end of the connection.
	after := func(d time.Duration) func(*testbed, *cutRequest) {
		return func(_ *testbed, r *cutRequest) { r.wholeAt = r.endedAt.Add(-d) }
	}
	both := func(list ...func(*testbed, *cutRequest)) func(*testbed, *cutRequest) {
		return func(tb *testbed, r *cutRequest) {
			for _, do := range list {
				do(tb, r)
			}
		}
	}
	const begun = "HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\n"
	cases := map[string]struct {
		serve func(net.Conn)
		// signals reach the box before it closes the connection.
		signals []syscall.Signal
		// after happens before the check.
		after func(*testbed, *cutRequest)
		// want is a part of the violation, empty for none.
		want string
		// isClosed is true if the caller sends once the box has closed the connection.
		isClosed bool
		// isMoved is true if the run of the request was stopped to move it.
		isMoved  bool
		patience time.Duration
	}{
		"closed before the request":                  {serve: closedBefore, isClosed: true},
		"closed before the request, yet handed on":   {serve: closedBefore, isClosed: true, after: handed, want: "a server had received it"},
		"read and closed":                            {serve: read, want: "the box had read it"},
		"closed with the request unread":             {serve: unread, after: after(lossSlack)},
		"closed with the request unread for long":    {serve: unread, after: after(lossSlack + 1), want: "left it for too long"},
		"unread but handed on":                       {serve: unread, after: both(after(0), handed), want: "a server had received it"},
		"reset, dropped as the log says":             {serve: unread, after: both(after(0), dropped(0, "")), want: "the box had read it"},
		"reset, a part dropped":                      {serve: unread, after: both(after(0), dropped(-1, ""))},
		"reset, bytes of another connection dropped": {serve: unread, after: both(after(0), dropped(0, "127.0.0.1:1"))},
		"killed":                               {serve: read, signals: []syscall.Signal{syscall.SIGKILL}},
		"paused":                               {serve: read, signals: []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT}},
		"stopped":                              {serve: read, signals: []syscall.Signal{syscall.SIGTERM}, want: "the box had read it"},
		"stopped twice":                        {serve: read, signals: []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM}, want: "the box had read it"},
		"reloaded":                             {serve: read, signals: []syscall.Signal{syscall.SIGHUP}, want: "the box had read it"},
		"paused before":                        {serve: read, after: down(-2, -1), want: "the box had read it"},
		"killed after":                         {serve: read, after: down(time.Minute, 2*time.Minute), want: "the box had read it"},
		"a server of it disturbed":             {serve: read, after: disturbed, want: "a server had received it"},
		"broken off as the grace ends":         {serve: read, after: stopping(9*time.Second, 7*time.Second, handed)},
		"broken off in the midst of the grace": {serve: read, after: stopping(5*time.Second, 3*time.Second, handed), want: "a server had received it"},
		"broken off, sent late in the grace":   {serve: read, after: stopping(9*time.Second, 5*time.Second, handed), want: "a server had received it"},
		"not handed on as the grace ends":      {serve: read, after: stopping(9*time.Second, 7*time.Second, nil), want: "the box had read it"},
		"past its deadline":                    {serve: read, after: func(_ *testbed, r *cutRequest) { r.sentAt = r.endedAt.Add(-8 * time.Second) }},
		"a part of the status line":            {serve: answer("HTTP/1.1 2"), want: "the box had read it"},
		"an answer that was begun":             {serve: answer(begun), want: "was truncated"},
		"given up for a caller that stays":     {serve: answer(begun), isMoved: true, after: left, want: "as if its caller had left"},
		"given up as the grace ends":           {serve: answer(begun), isMoved: true, after: both(left, stopping(9*time.Second, 7*time.Second, handed))},
		"given up in the midst of the grace":   {serve: answer(begun), isMoved: true, after: both(left, stopping(5*time.Second, 3*time.Second, handed)), want: "as if its caller had left"},
		"complete":                             {serve: answer(begun + "body")},
		"the caller gives up":                  {serve: silent, patience: 50 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tb := playBox(t, c.serve, c.signals)
			caller := tb.caller(1)
			caller.patience = c.patience
			if c.isMoved {
				tb.platform.disruptions.recordStop("1")
			}
			if !caller.connect() {
				t.Fatal("not connected")
			}
			if c.isClosed {
				waitForSocket(caller.conn, func(fd int) bool {
					info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
					return err != nil || info.State == unix.BPF_TCP_CLOSE_WAIT
				})
			}
			caller.send("1", "plain/unsafe", "key-large")
			if c.after != nil && len(tb.platform.cut) > 0 {
				c.after(tb, &tb.platform.cut[0])
			}
			tb.checkCut(t)
			got := strings.Join(tb.platform.violations, "\n")
			if c.want == "" && got != "" || !strings.Contains(got, c.want) || len(tb.platform.violations) > 1 {
				t.Errorf("violations %q, want %q", got, c.want)
			}
		})
	}
}

func TestSecondOfTwoRequestsWithoutAnAnswerIsFound(t *testing.T) {
	const kept = "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 4\r\n"
	cases := map[string]struct {
		answers string
		want    string
	}{
		"both answered":                {answers: kept + "\r\nbody" + kept + "\r\nbody"},
		"first answered":               {answers: kept + "\r\nbody", want: "request 0-1-2 (plain/safe)"},
		"first ends the connection":    {answers: kept + "Connection: close\r\n\r\nbody"},
		"first cut":                    {answers: kept + "\r\nbo", want: "request 0-1-1 (stream/once) was truncated"},
		"none answered":                {want: "request 0-1-1 (stream/once)"},
		"first answered, second begun": {answers: kept + "\r\nbodyHTTP", want: "request 0-1-2 (plain/safe)"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := &box{name: "entry-1"}
			tb := &testbed{fleet: &fleet{boxes: []*box{b}}, platform: newPlatform(nil)}
			address := serveOnce(t, func(conn net.Conn) {
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = io.WriteString(conn, c.answers)
			})
			tb.all = &callerPool{platform: tb.platform, entries: []string{address}, names: []string{b.name}}
			tb.caller(1).sendAtOnce("key-large", "stream/once", "plain/safe")
			tb.checkCut(t)
			got := strings.Join(tb.platform.violations, "\n")
			if c.want == "" && got != "" || !strings.Contains(got, c.want) || len(tb.platform.violations) > 1 {
				t.Errorf("violations %q, want %q", got, c.want)
			}
		})
	}
}

func TestTruncatedAnswersAreFound(t *testing.T) {
	explained := func(p *platform) { p.disruptions.recordFault("entry-1", 0) }
	cases := map[string]struct {
		answer  string
		prepare func(*platform)
		want    string
	}{
		"answer":                       {answer: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo", want: "was truncated"},
		"answer, explained":            {answer: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo", prepare: explained},
		"answer, by its server":        {answer: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo", prepare: func(p *platform) { p.recordTruncation("1") }},
		"refusal":                      {answer: "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbo", want: "was truncated"},
		"refusal, explained":           {answer: "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbo", prepare: explained},
		"refusal, without all headers": {answer: "HTTP/1.1 503 Busy\r\nContent-Le", want: "was truncated"},
		"whole refusal":                {answer: "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbody"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPlatform(nil)
			if c.prepare != nil {
				c.prepare(p)
			}
			address := serveOnce(t, func(conn net.Conn) {
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = io.WriteString(conn, c.answer)
			})
			tb := &testbed{platform: p, all: &callerPool{platform: p, entries: []string{address}, names: []string{"entry-1"}}}
			tb.caller(1).send("1", "plain/unsafe", "key-large")
			got := strings.Join(p.violations, "\n")
			if c.want == "" && got != "" || !strings.Contains(got, c.want) {
				t.Errorf("violations %q, want %q", got, c.want)
			}
		})
	}
}
