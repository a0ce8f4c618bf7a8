// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"havenwinch.dev/havenwinch/tests/observe"
)

// earlyForm is how a caller sends a request.
type earlyForm int

const (
	sentWhole earlyForm = iota
	sentSlowly
	sentInChunks
	sentAfterContinue
	earlyForms
)

// earlyCall is a request with the plans of the servers that get it, in turn, and what came of it.
type earlyCall struct {
	id, route string
	// body is the size of the request's body in bytes, padding that of an answer or of its events.
	body, padding int
	form          earlyForm
	readsSlowly   bool
	plans         []earlyPlan
	// runs are guarded by the earlyServers.
	runs []*earlyRun
	// done is closed when the caller has its answer.
	done chan struct{}

	box      string
	status   int
	got      string
	complete bool
	err      error
}

// deadline returns the time that the caller gives the box.
func (c *earlyCall) deadline() time.Duration {
	if slices.ContainsFunc(c.plans, func(p earlyPlan) bool { return p.end == standsStill }) {
		return stillDeadline
	}
	return keptDeadline
}

func (c *earlyCall) isStream() bool { return strings.HasPrefix(c.route, "stream") }

// pieces returns the body of the answer in events or in parts of it.
func (c *earlyCall) pieces() []string {
	var list []string
	if c.isStream() {
		for n := range events(outputLimit) {
			list = append(list, withFiller(event(c.id, n), c.padding/events(outputLimit)))
		}
		return list
	}
	const part = 16 << 10
	text := "answer to " + c.id + strings.Repeat(".", c.padding)
	for len(text) > part {
		list, text = append(list, text[:part]), text[part:]
	}
	return append(list, text)
}

const (
	// earlyCallers is how many callers a case has, earlyCalls how many calls each of them makes.
	earlyCallers, earlyCalls = 8, 5
	// largeBody is the size of the longest body of a request in bytes.
	largeBody = 8 << 20
	// stillDeadline is the deadline of calls to servers that stand still.
	stillDeadline = 2 * time.Second
	// leastSound is the least share of sound early answers that come through.
	leastSound = 0.9
)

var (
	plainRoutes  = []string{"plain/safe", "plain/unsafe"}
	allRoutes    = []string{"plain/safe", "plain/unsafe", "stream/resume", "stream/once"}
	shortBodies  = []int{20 << 10, 40 << 10, 64 << 10}
	longBodies   = []int{100 << 10, 1 << 20, 4 << 20}
	allBodies    = []int{0, 1 << 10, 16 << 10, 20 << 10, 40 << 10, 64 << 10, 100 << 10, 256 << 10, 1 << 20, largeBody}
	allAnswers   = []int{0, 100, 10 << 10, 300 << 10, 2 << 20}
	orderlyEnds  = []earlyEnd{readsOn, readsSlowly, readsNothing}
	failingEnds  = []earlyEnd{endsByReset, closesUnread, closesEarly}
	allEnds      = slices.Concat(failingEnds, failingEnds, orderlyEnds, []earlyEnd{standsStill})
	allParts     = []earlyPart{sendsAll, sendsAll, sendsSome, sendsSome, sendsTorn, sendsHead, sendsNothing}
	firstStarts  = []earlyStart{fromHead, fromPart}
	everyStart   = []earlyStart{fromHead, fromPart, fromAll}
	everyFraming = []earlyFraming{withLength, inChunks, toTheEnd, toTheEnd}
)

// earlyCase is a set of forms to draw from.
type earlyCase struct {
	routes  []string
	bodies  []int
	answers []int
	starts  []earlyStart
	// framings, parts and ends are those of the servers; a request that is sent again finds others.
	framings []earlyFraming
	parts    []earlyPart
	ends     []earlyEnd
	// atOnce is set if servers end at once, and callers send and read at once.
	atOnce bool
}

// earlyCases are played one after the other. Those with few forms tell what fails.
var earlyCases = map[string]earlyCase{
	"streams that may not go on, reset at once": {routes: []string{"stream/once"}, bodies: shortBodies, answers: []int{0}, starts: []earlyStart{fromHead}, framings: []earlyFraming{toTheEnd}, parts: []earlyPart{sendsSome}, ends: []earlyEnd{endsByReset}, atOnce: true},
	"streams that may go on, reset at once":     {routes: []string{"stream/resume"}, bodies: shortBodies, answers: []int{0}, starts: []earlyStart{fromHead}, framings: []earlyFraming{toTheEnd}, parts: []earlyPart{sendsSome}, ends: []earlyEnd{endsByReset}, atOnce: true},
	"plain answers, reset":                      {routes: plainRoutes, bodies: longBodies, answers: allAnswers, starts: firstStarts, framings: []earlyFraming{toTheEnd}, parts: []earlyPart{sendsSome}, ends: []earlyEnd{endsByReset}},
	"closed with unread bytes":                  {routes: allRoutes, bodies: slices.Concat(shortBodies, longBodies), answers: allAnswers, starts: firstStarts, framings: []earlyFraming{toTheEnd}, parts: []earlyPart{sendsSome}, ends: []earlyEnd{closesUnread}},
	"closed with the rest on its way":           {routes: allRoutes, bodies: longBodies, answers: allAnswers, starts: firstStarts, framings: []earlyFraming{toTheEnd}, parts: []earlyPart{sendsSome}, ends: []earlyEnd{closesEarly}},
	"sound answers":                             {routes: allRoutes, bodies: allBodies, answers: allAnswers, starts: everyStart, framings: everyFraming, parts: []earlyPart{sendsAll}, ends: orderlyEnds},
	"all forms":                                 {routes: allRoutes, bodies: allBodies, answers: allAnswers, starts: everyStart, framings: everyFraming, parts: allParts, ends: allEnds},
}

// pick returns a random element.
func pick[T any](rng *rand.Rand, list []T) T { return list[rng.Intn(len(list))] }

// plan draws what a server does.
func (c earlyCase) plan(rng *rand.Rand) earlyPlan {
	p := earlyPlan{start: pick(rng, c.starts), framing: pick(rng, c.framings), part: pick(rng, c.parts), end: pick(rng, c.ends), share: 0.1 + 0.8*rng.Float64(),
		step: time.Duration(20+rng.Intn(680)) * time.Millisecond}
	if !c.atOnce && rng.Intn(2) == 0 {
		p.delay = time.Duration(1+rng.Intn(50)) * time.Millisecond
	}
	return p
}

// call draws a call. Half of the calls that are sent again find a sound server.
func (c earlyCase) call(id string, rng *rand.Rand) *earlyCall {
	call := &earlyCall{id: id, route: pick(rng, c.routes), body: pick(rng, c.bodies), padding: pick(rng, c.answers), done: make(chan struct{}), plans: []earlyPlan{c.plan(rng)}}
	if !c.atOnce {
		call.form, call.readsSlowly = earlyForm(rng.Intn(int(earlyForms))), rng.Intn(4) == 0
	}
	again := c.plan(rng)
	if rng.Intn(2) == 0 && !c.atOnce {
		again.part, again.end = sendsAll, readsOn
	}
	call.plans = append(call.plans, again)
	return call
}

// earlyTestbed is a testbed with servers that answer early.
type earlyTestbed struct {
	*testbed
	servers *earlyServers

	mu sync.Mutex
	// sound counts the sound answers by link, and those of them that came through.
	sound map[string]served
}

// earlyPerService is the number of servers of a service.
const earlyPerService = 4

func startEarlyTestbed(t *testing.T, f *fleet, seed int64) *earlyTestbed {
	t.Helper()
	e := &earlyTestbed{servers: &earlyServers{calls: map[string]*earlyCall{}}, sound: map[string]served{}}
	prepare := func(p *platform) { p.maxBody = largeBody + 1<<10 }
	e.testbed = startTestbedWith(t, f, seed, []func(*platform){prepare}, func(tb *testbed) {
		for i := range 2 * earlyPerService {
			e.servers.start(t, tb, fmt.Sprint("i-", i), []string{engineService, plainService}[i%2], seed+int64(i))
		}
	})
	t.Cleanup(func() {
		if t.Failed() {
			e.saveLogs(t, seed)
		}
	})
	e.awaitDirectory(t, e.withRole("entry"))
	return e
}

// earlyCaller is a caller that keeps its connection.
type earlyCaller struct {
	tb *earlyTestbed
	// entries are the indexes of the boxes that the caller uses.
	entries []int
	rng     *rand.Rand
	conn    net.Conn
	paced   *pacedReader
	reader  *observe.Reader
	box     string
}

// pacedReader reads slowly if slow is set.
type pacedReader struct {
	r    io.Reader
	slow bool
}

func (p *pacedReader) Read(b []byte) (int, error) {
	if !p.slow {
		return p.r.Read(b)
	}
	time.Sleep(time.Millisecond)
	return p.r.Read(b[:min(len(b), 16<<10)])
}

func (c *earlyCaller) connect() error {
	if c.conn != nil {
		return nil
	}
	n := pick(c.rng, c.entries)
	conn, err := net.DialTimeout("tcp", c.tb.all.entries[n], dialLimit)
	if err != nil {
		return err
	}
	c.conn, c.paced, c.box = conn, &pacedReader{r: conn}, c.tb.all.names[n]
	c.reader = observe.NewReader(c.paced)
	return nil
}

func (c *earlyCaller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a call and reads the answer.
func (c *earlyCaller) send(call *earlyCall) {
	defer close(call.done)
	if call.err = c.connect(); call.err != nil {
		return
	}
	call.box, c.paced.slow = c.box, call.readsSlowly
	_ = c.conn.SetDeadline(time.Now().Add(answerLimit))
	if call.err = c.writeHead(call); call.err != nil {
		c.disconnect()
		return
	}
	conn, written := c.conn, make(chan error, 1)
	seed := c.rng.Int63()
	go func() { written <- call.writeBody(conn, rand.New(rand.NewSource(seed))) }()
	a, err := c.reader.Answer(http.MethodPost)
	call.status, call.got, call.complete, call.err = a.Status, string(a.Body), err == nil, err
	select {
	case failed := <-written:
		if failed != nil || err != nil || a.Closes() {
			c.disconnect()
		}
	default:
		c.disconnect()
		<-written
	}
}

// writeHead writes the head of the request, and waits for the interim answer where the caller asks for one.
func (c *earlyCaller) writeHead(call *earlyCall) error {
	framing := fmt.Sprintf("Content-Length: %d\r\n", call.body)
	if call.form == sentInChunks {
		framing = "Transfer-Encoding: chunked\r\n"
	}
	awaits := call.form == sentAfterContinue && call.body > 0
	if awaits {
		framing += "Expect: 100-continue\r\n"
	}
	if call.isStream() {
		framing += fmt.Sprintf("Token-Count: 200,%d\r\nPrompt-Prefix: aa:10,%x:20\r\n", outputLimit, c.rng.Int31())
	}
	if _, err := fmt.Fprintf(c.conn, "POST /%s/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: key-large\r\n%s\r\n", call.route, call.id, call.deadline().Milliseconds(), framing); err != nil || !awaits {
		return err
	}
	return c.reader.Continue()
}

// writeBody writes the body of the request.
func (call *earlyCall) writeBody(w io.Writer, rng *rand.Rand) error {
	text := call.id + strings.Repeat(".", call.body)
	text = text[:call.body]
	step := max(1, call.body)
	if call.form == sentSlowly || call.form == sentInChunks {
		step = max(1, call.body/(1+rng.Intn(8)))
	}
	for len(text) > 0 {
		part := text[:min(step, len(text))]
		text = text[len(part):]
		if call.form == sentInChunks {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		if _, err := io.WriteString(w, part); err != nil {
			return err
		}
		if call.form == sentSlowly {
			time.Sleep(time.Duration(1+rng.Intn(10)) * time.Millisecond)
		}
	}
	if call.form == sentInChunks {
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err
	}
	return nil
}

// play makes calls of a case and returns them once no server works on any.
func (e *earlyTestbed) play(t *testing.T, name string, c earlyCase, entries []int, isOver func(round int) bool) []*earlyCall {
	t.Helper()
	h := fnv.New64a()
	_, _ = io.WriteString(h, name)
	var mu sync.Mutex
	var list []*earlyCall
	var wg sync.WaitGroup
	for n := range earlyCallers {
		wg.Go(func() {
			caller := &earlyCaller{tb: e, entries: entries, rng: rand.New(rand.NewSource(e.all.seed ^ int64(h.Sum64()) + int64(n)))}
			defer caller.disconnect()
			for round := 0; !isOver(round); round++ {
				call := c.call(fmt.Sprintf("%x-%d-%d-%d", h.Sum64(), e.all.seed, n, round), caller.rng)
				e.servers.add(call)
				caller.send(call)
				mu.Lock()
				list = append(list, call)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	waitFor(t, "no server works on a call", func() bool { return e.servers.areDone(list) })
	return list
}

// earlyFigures count the calls of a case.
type earlyFigures struct {
	calls, whole, refused, failed, unknown int
	// false are answers that ended as complete and were not; sound and through the sound answers, and those of
	// them that came through.
	false, sound, through int
	faults                []string
}

func (f *earlyFigures) fail(c *earlyCall, format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf("request %s (%s) of %d bytes at %s: %s; status %d, %d bytes, complete %v (%v); servers: %v", c.id, c.route, c.body, c.box, fmt.Sprintf(format, args...), c.status, len(c.got), c.complete, c.err, c.runs))
}

// count adds a call and checks its answer.
func (f *earlyFigures) count(c *earlyCall) {
	f.calls++
	want := strings.Join(c.pieces(), "")
	best := isBroken
	for _, r := range c.runs {
		if r.meant == len(c.got) {
			best = max(best, r.verdict)
		}
	}
	isAnswer := c.status == http.StatusOK
	switch {
	case isAnswer && !strings.HasPrefix(want, c.got):
		f.fail(c, "what the caller got is no part of the answer")
	case isAnswer && c.complete && best == isBroken:
		f.false++
		f.fail(c, "ends as complete after %d of %d bytes, which no server ended in order", len(c.got), len(want))
	case isAnswer && c.complete:
		f.whole++
	case isRefusal(c.status, c.got):
		f.refused++
		if len(c.runs) > 0 {
			f.fail(c, "refused after it was run: %.200q", c.got)
		}
	default:
		f.failed++
	}
	if isAnswer && c.complete && best == isUnknown {
		f.unknown++
	}
	if len(c.runs) > 1 && (c.route == "plain/unsafe" || c.route == "stream/once") {
		f.fail(c, "run %d times, want at most once", len(c.runs))
	}
	if observe.IsErrMalformed(c.err) {
		f.fail(c, "the answer is malformed")
	}
	if c.plans[0].isSound() {
		f.sound++
		if isAnswer && c.complete && c.got == want {
			f.through++
		}
	}
}

// isRefusal reports whether an answer says that the call was not run.
func isRefusal(status int, body string) bool {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout {
		return true
	}
	return status != http.StatusOK && strings.Contains(strings.ReplaceAll(body, " ", ""), `"run":"no"`)
}

// check checks the calls of a case over a link. The sound answers count for the share of the link.
func (e *earlyTestbed) check(t *testing.T, link string, calls []*earlyCall) {
	t.Helper()
	var f earlyFigures
	for _, c := range calls {
		f.count(c)
		if c.plans[0].isSound() && !(c.status == http.StatusOK && c.complete) {
			t.Logf("a sound answer did not come through: %s (%s), %d bytes, form %d, read slowly %v, at %s: status %d, %d bytes (%v) %.150q; servers: %v", c.id, c.route, c.body, c.form, c.readsSlowly, c.box, c.status, len(c.got), c.err, c.got, c.runs)
		}
	}
	t.Logf("%d calls: %d whole (%d of them with an end that no peer can tell), %d refused, %d failed, %d falsely complete; %d of %d sound answers came through", f.calls, f.whole, f.unknown, f.refused, f.failed, f.false, f.through, f.sound)
	for _, fault := range f.faults {
		t.Error(fault)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sound[link]
	e.sound[link] = served{tries: s.tries + f.sound, served: s.served + f.through}
}

// Guards against parts of answers that end as complete where servers answer before they have read a request
// and end the connection. SOAK_SEEDS sets other seeds.
func TestAnswersThatEndEarly(t *testing.T) {
	for _, seed := range chosenSeeds(t, []int64{98}) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { playEarlyEnds(t, seed) })
	}
}

// playEarlyEnds plays the cases at boxes with links to the servers, and at one without, whose connections the
// others carry. Then it plays all forms beside faults.
func playEarlyEnds(t *testing.T, seed int64) {
	f, views := newPartlyViewedFleet(t, 3, 4, 1)
	views[f.withRole("entry")[0].name].set(refusingFault)
	e := startEarlyTestbed(t, f, seed)
	links := map[string][]int{"direct": {1, 2}, "carried": {0}}
	for _, name := range slices.Sorted(maps.Keys(earlyCases)) {
		t.Run(name, func(t *testing.T) {
			for link, entries := range links {
				t.Run(link, func(t *testing.T) {
					t.Parallel()
					e.check(t, link, e.play(t, link+" "+name, earlyCases[name], entries, func(round int) bool { return round == earlyCalls }))
				})
			}
		})
	}
	for link := range links {
		if s := e.sound[link]; s.share() < leastSound {
			t.Errorf("%s: %s sound answers came through, want nine in ten", link, s)
		}
	}
	t.Run("beside faults", e.playBesideFaults)
	for _, v := range slices.Concat(e.platform.violations, e.unexpectedExits()) {
		t.Error(v)
	}
}

// earlyFaultsLength is how long faults of boxes go on.
const earlyFaultsLength = 6 * time.Second

// playBesideFaults plays all forms beside stops and kills of boxes and changes of the configuration.
func (e *earlyTestbed) playBesideFaults(t *testing.T) {
	w := &plannedWork{tb: e.testbed, busy: map[string]bool{}, down: map[string]bool{}}
	seed, stop := e.all.seed, make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { w.stopInSeries(rand.New(rand.NewSource(seed)), stop) })
	wg.Go(func() { e.killInSeries(rand.New(rand.NewSource(seed+1)), stop) })
	wg.Go(func() { e.changeConfiguration(stop, rand.New(rand.NewSource(seed+2))) })
	end := time.Now().Add(earlyFaultsLength)
	calls := e.play(t, "beside faults", earlyCases["all forms"], []int{0, 1, 2, 3}, func(int) bool { return time.Now().After(end) })
	close(stop)
	wg.Wait()
	e.check(t, "beside faults", calls)
	t.Logf("%d planned stops", len(w.stops))
	if len(w.stops) == 0 {
		t.Error("no box was stopped")
	}
}

// killInSeries kills random boxes and starts them again until stop is closed.
func (e *earlyTestbed) killInSeries(rng *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(300+rng.Intn(1200)) * time.Millisecond):
		}
		b := pick(rng, e.boxes)
		<-b.signal(syscall.SIGKILL)
		time.Sleep(time.Duration(rng.Intn(300)) * time.Millisecond)
		_ = b.start()
	}
}
