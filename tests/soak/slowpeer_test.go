// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// memoryMB is the memory of an entry box whose memory is checked, as on the users' small boxes.
const memoryMB = 112

// plainBin is the directory of the daemon's binary without the race detector, which takes several times
// the memory.
var plainBin = sync.OnceValues(func() (string, error) {
	dir := bin + "/plain"
	out, err := exec.Command("go", "build", "-o", dir+"/", "havenwinch.dev/havenwinch/cmd/havenwinchd").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return dir, nil
})

// limitMemory gives the entry boxes memoryMB and a binary whose memory can be compared with it.
func limitMemory(t *testing.T, f *fleet) {
	t.Helper()
	dir, err := plainBin()
	if err != nil {
		t.Fatal(err)
	}
	entries := f.withRole("entry")
	useBinary(dir, entries...)
	for _, b := range entries {
		b.env = append(b.env, fmt.Sprint("HAVENWINCH_MEMORY_MB=", memoryMB))
	}
}

// peakMemory returns the most memory that the running process of the box has had resident, in kB.
func (b *box) peakMemory(t *testing.T) int {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd == nil {
		t.Fatalf("%s does not run", b.name)
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		t.Fatalf("no VmHWM in the status of %s", b.name)
	}
	kB, err := strconv.Atoi(fields[0])
	if err != nil {
		t.Fatal(err)
	}
	return kB
}

// checkMemory checks that no entry box has had more memory than it may use.
func (tb *testbed) checkMemory(t *testing.T) {
	t.Helper()
	for _, b := range tb.withRole("entry") {
		kB := b.peakMemory(t)
		t.Logf("%s: at most %d kB resident", b.name, kB)
		if kB > memoryMB<<10 {
			t.Errorf("%s had %d kB resident, want at most %d MB", b.name, kB, memoryMB)
		}
	}
}

// checkAllServed checks that all recorded calls of the given routes were served within a time.
func (tb *testbed) checkAllServed(t *testing.T, limit time.Duration, routes ...string) {
	t.Helper()
	tb.all.mu.Lock()
	defer tb.all.mu.Unlock()
	count := 0
	for _, o := range tb.all.outcomes {
		if !slices.Contains(routes, o.route) {
			continue
		}
		count++
		if took := o.endedAt.Sub(o.sentAt); o.status != http.StatusOK || !o.complete || took > limit {
			t.Errorf("request %s (%s) at %s: status %d, complete %v, after %s, want a whole answer within %s%s; %.100q; %s", o.id, o.route, o.box, o.status, o.complete, took, limit, tb.platform.endlessOf(o.id), o.body, requestLines(tb.logOf(o.box))[o.id].text)
		}
	}
	t.Logf("%d calls of %s checked", count, strings.Join(routes, ", "))
}

const (
	// fillerHeader is the request header with the number of filler bytes in each event of a stream.
	fillerHeader = "Filler"
	// fillerBytes and fillerEvents make a stream longer than the kernel's buffers of all its
	// connections together hold.
	fillerBytes, fillerEvents = 16 << 10, 1500
	// slowDeadline is the deadline of the calls of slow callers.
	slowDeadline = 4 * time.Second
)

// withFiller returns an event with n filler bytes in a line of their own.
func withFiller(event string, n int) string {
	if n == 0 {
		return event
	}
	return "data: " + strings.Repeat("f", n) + "\n" + event
}

// slowCaller is a caller of a long stream that reads few bytes at a time.
type slowCaller struct {
	id    string
	entry int
	// bytes is how much it reads each slowPause, zero if it reads nothing before its deadline.
	bytes int
}

const (
	// slowPause is the time between two reads of a slow caller.
	slowPause = 50 * time.Millisecond
	// drainBuffer is the receive buffer in bytes with which it reads what is left.
	drainBuffer = 1 << 20
)

// call sends a call, reads slowly until its deadline and then all that is left. It returns an error if
// the answer has not ended within answerLimit.
func (s slowCaller) call(p *callerPool, route string) error {
	conn, err := net.DialTimeout("tcp", p.entries[s.entry], dialLimit)
	if err != nil {
		// The box is down in a random mix of faults.
		return nil
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(smallBuffer)
	deadline := time.Now().Add(slowDeadline)
	_ = conn.SetDeadline(time.Now().Add(answerLimit))
	body := "body of " + s.id
	_, _ = fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: key-large\r\nToken-Count: 200,%d\r\n%s: %d\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		route, s.id, slowDeadline.Milliseconds(), fillerEvents*stride, fillerHeader, fillerBytes, len(body), body)
	for buffer := make([]byte, max(1, s.bytes)); time.Now().Before(deadline); time.Sleep(slowPause) {
		if s.bytes == 0 {
			continue
		}
		if _, err := conn.Read(buffer); err != nil {
			return s.endError(err)
		}
	}
	// With a small buffer the kernel hands over what it still has only slowly.
	_ = conn.(*net.TCPConn).SetReadBuffer(drainBuffer)
	_, err = io.Copy(io.Discard, conn)
	return s.endError(err)
}

// endError returns an error if err is not an end of the connection by the box.
func (s slowCaller) endError(err error) error {
	if e, ok := err.(net.Error); ok && e.Timeout() {
		return fmt.Errorf("the call %s has not ended %s after it was sent", s.id, answerLimit)
	}
	return nil
}

// startSlowCallers starts some callers that read slowly.
func (tb *testbed) startSlowCallers(rng *rand.Rand, _ time.Duration) {
	tb.lastCopy++
	for n := range 3 {
		s := slowCaller{id: fmt.Sprintf("slow-%d-%d", tb.lastCopy, n), entry: rng.Intn(len(tb.all.entries)), bytes: 16 * rng.Intn(2)}
		tb.load.Add(1)
		go func() {
			defer tb.load.Done()
			if err := s.call(tb.all, "stream/once"); err != nil {
				tb.platform.recordViolation("%v", err)
			}
		}()
	}
}

// runningStreams returns the ids of the streams whose ids begin with prefix that servers generate.
func (p *platform) runningStreams(prefix string) []string {
	var list []string
	for _, sv := range p.all() {
		sv.mu.Lock()
		for id := range sv.runs {
			if strings.HasPrefix(id, prefix) {
				list = append(list, id)
			}
		}
		sv.mu.Unlock()
	}
	return list
}

// Guards against callers that read slowly and thereby take the memory of a box, hold up other callers or
// keep targets at work for good.
func TestCallersThatReadSlowly(t *testing.T) {
	const (
		seed, engines = 93, 4
		// perKind of each kind leave most slots of the engines to the others.
		perKind = 5
	)
	f := newFleet(t, 3, 2)
	limitMemory(t, f)
	tb := startTestbed(t, f, seed, engines, 2)
	tb.awaitDirectory(t, tb.withRole("entry"))
	stopLoad := tb.startSteadyLoad()
	defer stopLoad()
	var wg sync.WaitGroup
	for kind, size := range map[string]int{"trickle": 16, "none": 0} {
		for n := range perKind {
			wg.Add(1)
			go func() {
				defer wg.Done()
				s := slowCaller{id: fmt.Sprintf("slow-%s-%d", kind, n), bytes: size}
				if err := s.call(tb.all, "stream/once"); err != nil {
					t.Error(err)
				}
			}()
		}
	}
	wg.Wait()
	waitFor(t, "no server generates an answer for a slow caller", func() bool { return len(tb.platform.runningStreams("slow-")) == 0 })
	stopLoad()
	reached := 0
	for kind := range map[string]int{"trickle": 16, "none": 0} {
		for n := range perKind {
			reached += min(1, tb.platform.runCount(fmt.Sprintf("slow-%s-%d", kind, n)))
		}
	}
	if reached < perKind {
		t.Errorf("%d calls of slow callers reached a server, want at least %d of %d", reached, perKind, 2*perKind)
	}
	tb.checkMemory(t)
	tb.checkAllServed(t, keptDeadline, "plain/safe", "plain/unsafe", "stream/resume", "stream/once")
	tb.checkResults(t)
}

// endlessForm is what a server sends without end.
type endlessForm int

const (
	endlessStatus endlessForm = iota
	endlessField
	endlessSize
	endlessExtension
	endlessComments
)

func (f endlessForm) String() string {
	return [...]string{"status line", "header field", "chunk size", "chunk extension", "comments"}[f]
}

// endlessVariants are the answers without end that the servers of a service send in turn. Plain answers
// have no comments.
var endlessVariants = map[string][]endlessVariant{
	engineService: variantsOf(endlessStatus, endlessField, endlessSize, endlessExtension, endlessComments),
	plainService:  variantsOf(endlessStatus, endlessField, endlessSize, endlessExtension),
}

// endlessVariant is a form that is sent fast or in a trickle.
type endlessVariant struct {
	endlessForm
	isFast bool
}

func variantsOf(forms ...endlessForm) []endlessVariant {
	var list []endlessVariant
	for _, f := range forms {
		list = append(list, endlessVariant{f, false}, endlessVariant{f, true})
	}
	return list
}

func (v endlessVariant) String() string {
	if v.isFast {
		return v.endlessForm.String() + " (fast)"
	}
	return v.endlessForm.String() + " (trickle)"
}

const (
	// endlessMark is in all that servers send without end, but in sizes of chunks.
	endlessMark = "endless"
	// tricklePause is the time between two writes of a few bytes, fastPause that between two of fastBytes.
	tricklePause = 20 * time.Millisecond
	fastPause    = time.Millisecond
	fastBytes    = 64 << 10
)

// begin returns what comes before the endless part of an answer.
func (f endlessForm) begin(sv *server, r *http.Request, id string) string {
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Signature: " + sv.id + "\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		chunked = head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		e := sv.event(id, firstEvent(r))
		chunked += fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
	}
	switch f {
	case endlessStatus:
		return "HTTP/1.1 200 "
	case endlessField:
		return head + "Note: "
	case endlessExtension:
		return chunked + "5;"
	default:
		return chunked
	}
}

// part returns a part of what is sent without end, of few bytes.
func (f endlessForm) part() string {
	switch f {
	case endlessSize:
		return "0000"
	case endlessComments:
		return "b\r\n: " + endlessMark + "\n\n\r\n"
	default:
		return endlessMark
	}
}

// setEndless makes the server answer without end, or no more.
func (sv *server) setEndless(isEndless bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.isEndless = isEndless
}

func (sv *server) sendsWithoutEnd() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.isEndless
}

// nextEndless returns the next answer without end of a service, and records that the request gets it. It
// returns false if the request got one before: all other servers are healthy to a request.
func (p *platform) nextEndless(id, service string) (v endlessVariant, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endless[id] != "" {
		return v, false
	}
	list := endlessVariants[service]
	v = list[p.endlessSent[service]%len(list)]
	p.endlessSent[service]++
	p.endless[id] = service + ", " + v.String()
	p.truncated[id] = true
	return v, true
}

// endlessOf describes the answer without end to a request, "" for none.
func (p *platform) endlessOf(id string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endless[id] == "" {
		return ""
	}
	return " (without end: " + p.endless[id] + ")"
}

// sendEndless answers a request without end until the connection ends, and reports whether it did.
func (sv *server) sendEndless(w http.ResponseWriter, r *http.Request, id string) bool {
	if !sv.sendsWithoutEnd() {
		return false
	}
	v, ok := sv.platform.nextEndless(id, sv.service)
	if !ok {
		return false
	}
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return true
	}
	defer c.Close()
	part, pause := v.part(), tricklePause
	if v.isFast {
		part, pause = strings.Repeat(part, fastBytes/len(part)), fastPause
	}
	_, err = io.WriteString(c, v.begin(sv, r, id))
	for err == nil {
		select {
		case <-sv.quit:
			return true
		case <-time.After(pause):
		}
		_, err = io.WriteString(c, part)
	}
	return true
}

// endlessComment is a comment of those that servers send without end.
const endlessComment = ": " + endlessMark + "\n\n"

// withoutComments returns the body of a stream without the comments that a server sent without end.
func withoutComments(body string) string { return strings.ReplaceAll(body, endlessComment, "") }

// checkComments records a violation if a caller received more than one comment a second.
func (p *platform) checkComments(o outcome) {
	took := o.endedAt.Sub(o.sentAt)
	if n, most := strings.Count(o.body, endlessComment), 1+int(took/time.Second); n > most {
		p.recordViolation("request %s (%s) received %d comments in %s, want at most %d", o.id, o.route, n, took, most)
	}
}

// Guards against targets that send without end and hold calls which others could answer, or whose bytes
// reach callers.
func TestTargetsThatSendWithoutEnd(t *testing.T) {
	const (
		seed, perService, callers = 94, 6, 30
		length                    = 2400 * time.Millisecond
		// deadline leaves the calls sent last some of the test's time.
		deadline = 5 * time.Second
	)
	tb := newTestbed(t, seed, 3, 3, perService, perService)
	// A box that does not know all others yet has no retries.
	tb.awaitDirectory(t, tb.withRole("entry"))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			tb.callWithin(n, deadline, stop)
		}()
	}
	// Boxes avoid targets that have failed, so that others send without end in the second half.
	for half := range 2 {
		for i, sv := range tb.platform.all() {
			sv.setEndless(i%2 == half)
		}
		time.Sleep(length / 2)
	}
	close(stop)
	wg.Wait()
	met := map[string]int{}
	tb.platform.mu.Lock()
	for _, form := range tb.platform.endless {
		met[form]++
	}
	tb.platform.mu.Unlock()
	t.Logf("answers without end: %v", met)
	for service, list := range endlessVariants {
		for _, v := range list {
			if met[service+", "+v.String()] == 0 {
				t.Errorf("no server of %s sent %s without end", service, v)
			}
		}
	}
	tb.checkAllServed(t, deadline, "plain/safe", "stream/resume")
	tb.checkNoEndless(t)
	tb.checkResults(t)
}

// callWithin sends calls of all kinds with a deadline until stop is closed.
func (tb *testbed) callWithin(n int, deadline time.Duration, stop <-chan struct{}) {
	routes := []string{"plain/safe", "stream/resume", "plain/safe", "stream/resume", "plain/unsafe", "stream/once"}
	c := tb.caller(n)
	c.deadline = deadline
	defer c.disconnect()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.rng.Intn(40)) * time.Millisecond):
		}
		c.count++
		tb.all.record(c.send(fmt.Sprintf("%d-%d-%d", tb.all.seed, n, c.count), routes[c.rng.Intn(len(routes))], "key-large"))
	}
}

// checkNoEndless checks that what servers sent without end is no part of an answer, besides comments.
func (tb *testbed) checkNoEndless(t *testing.T) {
	t.Helper()
	tb.all.mu.Lock()
	defer tb.all.mu.Unlock()
	for _, o := range tb.all.outcomes {
		if strings.Contains(withoutComments(o.body), endlessMark) {
			t.Errorf("request %s (%s): what a server sent without end is in the answer: %.200q", o.id, o.route, o.body)
		}
	}
}

// Guards against bodies that boxes hold beyond their memory while targets do not read them, and against
// calls that wait behind them.
func TestTargetsThatStopReading(t *testing.T) {
	const (
		seed, plain = 95, 4
		// bodyBytes times callers is more than the memory of the box.
		bodyBytes, callers = 4<<20 - 1<<10, 30
		// stalls of stallTime each are more than most calls of the others take.
		stalls                = 2
		stallTime, readingFor = 2 * time.Second, 500 * time.Millisecond
	)
	f := newFleet(t, 3, 2)
	limitMemory(t, f)
	tb := startTestbed(t, f, seed, 3, plain, func(p *platform) { p.maxBody = 4 << 20 })
	tb.awaitDirectory(t, tb.withRole("entry"))
	for _, sv := range tb.platform.all() {
		sv.link.useSmallBuffers()
		sv.link.reset()
	}
	stopLoad := tb.startSteadyLoad()
	defer stopLoad()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			tb.sendLongBodies(n, bodyBytes, stop)
		}()
	}
	for range stalls {
		for _, sv := range tb.platform.all() {
			sv.link.set(linkBodiesWait)
		}
		time.Sleep(stallTime)
		for _, sv := range tb.platform.all() {
			sv.link.set(linkNormal)
		}
		time.Sleep(readingFor)
	}
	stopLoad()
	close(stop)
	wg.Wait()
	tb.checkMemory(t)
	tb.checkAllServed(t, keptDeadline, "plain/safe", "plain/unsafe", "stream/resume", "stream/once")
	tb.checkResults(t)
}

// useSmallBuffers makes new connections of the link leave most of what it does not read with the sender.
func (l *link) useSmallBuffers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hasSmallBuffers = true
}

// sendLongBodies sends calls with long bodies to the first box until stop is closed, over a new
// connection each. Whether they are served is left to the box.
func (tb *testbed) sendLongBodies(n, size int, stop <-chan struct{}) {
	padding := bytes.Repeat([]byte("."), size)
	rng := rand.New(rand.NewSource(tb.all.seed + int64(n)))
	for count := 0; ; count++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.Intn(100)) * time.Millisecond):
		}
		conn, err := net.DialTimeout("tcp", tb.all.entries[0], dialLimit)
		if err != nil {
			continue
		}
		closed := make(chan struct{})
		go func() {
			select {
			case <-stop:
			case <-closed:
			}
			_ = conn.Close()
		}()
		id := fmt.Sprintf("long-%d-%d", n, count)
		_, err = fmt.Fprintf(conn, "POST /plain/safe/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 8000\r\nApi-Key: key-large\r\n%s: %d\r\nConnection: close\r\nContent-Length: %d\r\n\r\nbody of %s", id, paddingHeader, size, len("body of "+id)+size, id)
		if err == nil {
			_, err = conn.Write(padding)
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
		close(closed)
	}
}
