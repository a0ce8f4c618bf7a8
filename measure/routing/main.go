// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command routing compares routing policies on frozen traces, with the real
// routing decision and queue, against engines with a stated service model.
// Time is virtual; a run is the same every time. The figures explain the
// policies; they don't predict a particular engine's milliseconds.
//
// Service model: an engine prefills prompts one after another, 8,000 tokens a
// second, without the blocks its cache holds (512 blocks, least recently used
// leave); it decodes up to 16 runs together, a token of each every 20 ms and
// 1 ms more for each further run. Load is reported every 500 ms, cache events
// arrive 1 s late.
package main

import (
	"container/heap"
	"container/list"
	"fmt"
	"math/rand"
	"sort"
	"strings"
	"time"

	"havenwinch.dev/havenwinch/models/queue"
	"havenwinch.dev/havenwinch/models/target"
)

const (
	engines       = 8
	slots         = 16
	prefillRate   = 8000
	tokenBase     = 20 * time.Millisecond
	tokenMore     = time.Millisecond
	cacheBlocks   = 512
	reportEvery   = 500 * time.Millisecond
	eventDelay    = time.Second
	modelName     = "m1"
	lostFrom      = 20 * time.Second
	slowFactor    = 4
	interactiveBy = 10 * time.Second
	batchBy       = 20 * time.Minute
)

// job is one request of a trace.
type job struct {
	at           time.Duration
	organisation string
	interactive  bool
	prompt       string
	tokens       int
	deadline     time.Duration
}

// trace is a frozen list of jobs and what goes wrong.
type trace struct {
	name string
	jobs []job
	// stale delays cache events further, lossy drops every fifth.
	stale bool
	lossy bool
	// slow makes one engine slower, lost takes one away.
	slow bool
	lost bool
}

func text(rng *rand.Rand, n int) string {
	var b strings.Builder
	for b.Len() < n {
		fmt.Fprintf(&b, "%08x ", rng.Uint32())
	}
	return b.String()[:n]
}

// burst is a stream of jobs that share long prefixes.
func burst(seed int64, n int, perSecond float64, prefixes, prefixBytes, ownBytes int) []job {
	rng := rand.New(rand.NewSource(seed))
	shared := make([]string, prefixes)
	for i := range shared {
		shared[i] = text(rng, prefixBytes)
	}
	var jobs []job
	at := time.Duration(0)
	for range n {
		at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		// A few prefixes are asked for most of the time.
		p := int(float64(prefixes) * rng.Float64() * rng.Float64())
		jobs = append(jobs, job{at: at, organisation: fmt.Sprint("org-", p%3), interactive: true, prompt: shared[p] + text(rng, ownBytes), tokens: 40 + rng.Intn(120), deadline: at + interactiveBy})
	}
	return jobs
}

// night is a large batch queued at once, with urgent requests in between.
func night() []job {
	rng := rand.New(rand.NewSource(7))
	var jobs []job
	for range 900 {
		jobs = append(jobs, job{at: 0, organisation: "bulk", prompt: text(rng, 8000), tokens: 300, deadline: batchBy})
	}
	for i := range 300 {
		at := time.Duration(i) * 200 * time.Millisecond
		jobs = append(jobs, job{at: at, organisation: "urgent", interactive: true, prompt: text(rng, 1200), tokens: 60, deadline: at + interactiveBy})
	}
	sort.SliceStable(jobs, func(i, j int) bool { return jobs[i].at < jobs[j].at })
	return jobs
}

func traces() []trace {
	warm := burst(1, 2000, 22, 24, 12000, 400)
	cold := burst(2, 2000, 22, 2000, 256, 3000)
	return []trace{
		{name: "warm-prefix burst", jobs: warm},
		{name: "cold, balanced", jobs: cold},
		{name: "stale events", jobs: warm, stale: true},
		{name: "lost events", jobs: warm, lossy: true},
		{name: "large batch, interactive between", jobs: night()},
		{name: "one slow target", jobs: warm, slow: true},
		{name: "a target lost at peak", jobs: warm, lost: true},
	}
}

// cache is an engine's prefix cache.
type cache struct {
	blocks map[target.Block]*list.Element
	recent *list.List
	seq    uint64
}

func (c *cache) use(blocks []target.Block, publish func(target.CacheEvent)) int {
	hits := 0
	for hits < len(blocks) && c.blocks[blocks[hits]] != nil {
		hits++
	}
	for _, b := range blocks {
		if e := c.blocks[b]; e != nil {
			c.recent.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.recent.PushFront(b)
		c.seq++
		publish(target.CacheEvent{Sequence: c.seq, Block: b})
		if c.recent.Len() > cacheBlocks {
			old := c.recent.Remove(c.recent.Back()).(target.Block)
			delete(c.blocks, old)
			c.seq++
			publish(target.CacheEvent{Sequence: c.seq, Block: old, Evicted: true})
		}
	}
	return hits
}

// machine is one engine.
type machine struct {
	cache   cache
	free    time.Duration
	running int
	slow    int
	work    float64
	gone    bool
}

// event is something due in virtual time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// world is one policy on one trace.
type world struct {
	trace    trace
	policy   target.Policy
	now      time.Duration
	due      events
	order    int
	table    *target.Table
	queue    *queue.Queue
	machines map[string]*machine
	rng      *rand.Rand
	first    []time.Duration
	between  []time.Duration
	urgent   []time.Duration
	missed   int
	prompts  int
	computed int
}

func newWorld(t trace, p target.Policy) *world {
	w := &world{trace: t, policy: p, table: target.NewTable(), machines: map[string]*machine{}, rng: rand.New(rand.NewSource(3))}
	w.queue = queue.New(func(string) int { return 1 })
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i)
		w.table.Put(&target.Target{Name: name, Address: name, Kind: target.Engine, Models: []string{modelName}, DataCentre: "dc", ListedState: target.Live}, 0)
		m := &machine{cache: cache{blocks: map[target.Block]*list.Element{}, recent: list.New()}, slow: 1}
		if t.slow && i == 0 {
			m.slow = slowFactor
		}
		w.machines[name] = m
		w.report(name)
	}
	for _, j := range t.jobs {
		w.at(j.at, func() { w.arrive(j) })
	}
	if t.lost {
		w.at(lostFrom, func() { w.lose("engine-1") })
	}
	return w
}

func (w *world) at(at time.Duration, do func()) {
	w.order++
	heap.Push(&w.due, event{at: at, order: w.order, do: do})
}

func (w *world) play() {
	last := w.trace.jobs[len(w.trace.jobs)-1].at + batchBy
	for len(w.due) > 0 && w.now <= last && len(w.first)+w.missed < len(w.trace.jobs) {
		e := heap.Pop(&w.due).(event)
		w.now = e.at
		e.do()
	}
}

func (w *world) report(name string) {
	m, t := w.machines[name], w.table.Targets[name]
	pending := 0
	if m.free > w.now {
		pending = int((m.free - w.now).Seconds() * prefillRate)
	}
	t.RecordLoad(m.running, pending, w.now)
	w.at(w.now+reportEvery, func() { w.report(name) })
}

func (w *world) lose(name string) {
	w.machines[name].gone = true
	w.table.Targets[name].ListedState = target.Leaving
}

func (w *world) arrive(j job) {
	need := target.Criteria{Model: modelName, PromptTokens: len(j.prompt) / 4, Interactive: j.interactive, DataCentre: "dc", Blocks: target.Blocks(j.organisation, modelName, j.prompt)}
	it := &queue.Item{Organisation: j.organisation, Interactive: j.interactive, Pool: modelName, Tokens: need.PromptTokens + j.tokens, Deadline: j.deadline, Payload: func() bool { return w.start(j, need) }}
	w.queue.Add(it)
	w.pump()
}

func (w *world) pump() {
	for {
		it := w.queue.Peek(modelName, false)
		if it == nil {
			return
		}
		if it.Deadline < w.now {
			w.queue.Remove(it)
			w.missed++
			continue
		}
		if !it.Payload.(func() bool)() {
			if it = w.queue.Peek(modelName, true); it == nil || !it.Payload.(func() bool)() {
				return
			}
		}
		w.queue.Dequeue(it)
	}
}

func (w *world) start(j job, need target.Criteria) bool {
	d := target.Choose(w.policy, w.table.ForModel(modelName), need, target.Limits{Slots: slots, InteractiveSlots: 2, DecodeWeight: 3}, w.now, w.rng)
	if d.Target == nil {
		return false
	}
	d.Target.RequestStarted(need.PromptTokens)
	w.run(d.Target, j, need)
	return true
}

func (w *world) run(t *target.Target, j job, need target.Criteria) {
	m := w.machines[t.Name]
	hits := m.cache.use(need.Blocks, func(e target.CacheEvent) { w.publish(t, e) })
	compute := max(0, need.PromptTokens-hits*target.BlockBytes/4)
	w.prompts += need.PromptTokens
	w.computed += compute
	begin := max(m.free, w.now)
	m.free = begin + time.Duration(compute*m.slow)*time.Second/prefillRate
	m.running++
	token := (tokenBase + time.Duration(m.running-1)*tokenMore) * time.Duration(m.slow)
	first := m.free + token
	ends := first + time.Duration(j.tokens-1)*token
	m.work += (ends - w.now).Seconds()
	w.at(ends, func() {
		m.running--
		t.RequestEnded(need.PromptTokens)
		if m.gone && ends > lostFrom {
			// Its engine was lost while it ran: it starts anew elsewhere.
			w.arrive(j)
			return
		}
		w.done(j, first, token)
		w.pump()
	})
}

func (w *world) done(j job, first, token time.Duration) {
	w.first = append(w.first, first-j.at)
	w.between = append(w.between, token)
	if j.organisation == "urgent" {
		w.urgent = append(w.urgent, first-j.at)
	}
	if w.now > j.deadline {
		w.missed++
		w.first = w.first[:len(w.first)-1]
	}
}

func (w *world) publish(t *target.Target, e target.CacheEvent) {
	if w.trace.lossy && e.Sequence%5 == 0 {
		return
	}
	delay := eventDelay
	if w.trace.stale {
		delay = 15 * time.Second
	}
	w.at(w.now+delay, func() { t.Cache.Apply("epoch", []target.CacheEvent{e}, w.now) })
}

func percentile(list []time.Duration, p float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), list...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[int(p*float64(len(sorted)-1))]
}

// spread is the work of the busiest engine over the mean.
func (w *world) spread() float64 {
	most, sum := 0.0, 0.0
	for _, m := range w.machines {
		most = max(most, m.work)
		sum += m.work
	}
	return most / (sum / engines)
}

func main() {
	fmt.Println("| trace | policy | first token p50 | p95 | p99 | between p50 | p95 | p99 | recomputed | max/mean | missed | interactive p95 |")
	fmt.Println("|---|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|")
	for _, t := range traces() {
		for _, name := range []string{"round-robin", "least-load", "longest-prefix", "two-choices", "cache-load"} {
			w := newWorld(t, target.PolicyByName(name))
			w.play()
			fmt.Printf("| %s | %s | %d | %d | %d | %d | %d | %d | %.0f%% | %.2f | %d | %d |\n", t.name, name,
				percentile(w.first, .5).Milliseconds(), percentile(w.first, .95).Milliseconds(), percentile(w.first, .99).Milliseconds(),
				percentile(w.between, .5).Milliseconds(), percentile(w.between, .95).Milliseconds(), percentile(w.between, .99).Milliseconds(),
				100*float64(w.computed)/float64(w.prompts), w.spread(), w.missed, percentile(w.urgent, .95).Milliseconds())
		}
	}
}
