// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command allotment compares ways of splitting a budget among data centres, on
// the real ledgers and the real control state, over the same frozen demand.
// It prints the overspend and the false refusals against an oracle that sees
// every ledger at once. Time is virtual; a run is the same every time.
package main

import (
	"fmt"
	"math/rand"
	"time"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/allot"
	"havenwinch.dev/havenwinch/models/ledger"
	"havenwinch.dev/havenwinch/models/state"
)

const (
	tick       = 100 * time.Millisecond
	syncEvery  = time.Second
	runTime    = 10 * time.Minute
	patience   = 5 * time.Second
	cutFrom    = 2 * time.Minute
	cutTo      = 8 * time.Minute
	budgetName = "north/main"
	groupName  = "north/a"
)

// place is a user's data centres and the demand of one organisation in each,
// in requests a second.
type place struct {
	name   string
	demand []float64
}

var places = []place{
	{"three data centres", []float64{2, 1, 0.2}},
	{"four data centres", []float64{1.5, 1, 0.5, 0.1}},
}

// scenario is what goes wrong.
type scenario struct {
	name string
	// budget is the prepaid amount in parts of what the demand needs in all.
	budget float64
	cut    bool
	// busiest cuts the busiest data centre off, otherwise the quietest.
	busiest bool
	// flip turns the demand around once the cut has begun.
	flip bool
	// lose takes a ledger away for a minute, with its disk or without.
	lose     bool
	withDisk bool
	// late is a data centre whose first request comes after the cut.
	late bool
}

var scenarios = []scenario{
	{name: "no fault", budget: 1.3},
	{name: "near the end, no fault", budget: 0.7},
	{name: "cut for 6 min", budget: 1.3, cut: true},
	{name: "busiest cut for 6 min", budget: 1.3, cut: true, busiest: true},
	{name: "cut, demand flips", budget: 1.3, cut: true, flip: true},
	{name: "cut, near the end", budget: 0.7, cut: true},
	{name: "cut, first demand after it", budget: 1.3, cut: true, late: true},
	{name: "ledger away, disk kept", budget: 1.3, lose: true, withDisk: true},
	{name: "ledger away, disk lost", budget: 1.3, lose: true},
}

type policy struct {
	name   string
	policy allot.Policy
}

var policies = []policy{
	{"equal", allot.Equal{}},
	{"on demand", allot.OnDemand{Chunk: 5000}},
	{"proportional", allot.Proportional{Floor: 0.1}},
	{"proportional, spread, floor 0.1", allot.Proportional{SpreadFrom: allot.DefaultSpreadFrom, Floor: 0.1}},
	{"proportional, spread, floor 1", allot.Proportional{SpreadFrom: allot.DefaultSpreadFrom, Floor: 1}},
	{"proportional, spread, floor 1, keep 0.3", allot.Proportional{SpreadFrom: allot.DefaultSpreadFrom, Floor: 1, Keep: 0.3}},
	{"proportional, spread, floor 1, keep 0.5", allot.Proportional{SpreadFrom: allot.DefaultSpreadFrom, Floor: 1, Keep: 0.5}},
}

// arrival is one request of the frozen demand.
type arrival struct {
	at       time.Duration
	dc       int
	bound    uint64
	used     uint64
	duration time.Duration
}

// demand draws the arrivals of a scenario, the same for every policy.
func demand(p place, s scenario) ([]arrival, uint64) {
	rng := rand.New(rand.NewSource(20261202))
	var list []arrival
	total := uint64(0)
	for now := time.Duration(0); now < runTime; now += tick {
		for dc := range p.demand {
			if rng.Float64() >= rateAt(p, s, dc, now)*tick.Seconds() {
				continue
			}
			bound := uint64(200 + rng.Intn(1800))
			a := arrival{at: now, dc: dc, bound: bound, used: uint64(float64(bound) * (0.2 + 0.4*rng.Float64())), duration: time.Duration(5+rng.Intn(15)) * time.Second}
			list = append(list, a)
			total += a.used
		}
	}
	return list, uint64(float64(total) * s.budget)
}

func rateAt(p place, s scenario, dc int, now time.Duration) float64 {
	last := len(p.demand) - 1
	if s.late && dc == last && now < cutFrom {
		return 0
	}
	if s.flip && now >= cutFrom {
		return p.demand[last-dc]
	}
	return p.demand[dc]
}

// running is a request in progress.
type running struct {
	arrival
	key     string
	attempt uint32
	ends    time.Duration
	holder  string
}

// waiting is a request that lacks tokens.
type waiting struct {
	arrival
	key   string
	until time.Duration
}

// run is one policy on one scenario.
type run struct {
	policy  allot.Policy
	scene   scenario
	state   *state.State
	ledgers []*ledger.Ledger
	boxes   []string
	away    []bool
	lives   []int
	running []running
	waiting []waiting
	now     time.Duration
	synced  []time.Duration
	served  uint64
	refused int
	wrong   int
	all     int
}

func newRun(p place, s scenario, by allot.Policy, budget uint64) *run {
	r := &run{policy: by, scene: s, state: state.New()}
	r.command(&statev1.Command{Number: 1, Action: &statev1.Command_CreateOrganisation{CreateOrganisation: &statev1.CreateOrganisation{Name: "north", Share: 1}}})
	r.command(&statev1.Command{Number: 2, Action: &statev1.Command_CreateBudget{CreateBudget: &statev1.CreateBudget{Name: budgetName, Tokens: budget}}})
	for i := range p.demand {
		r.boxes = append(r.boxes, fmt.Sprintf("k%d", i+1))
		r.ledgers = append(r.ledgers, nil)
		r.away = append(r.away, false)
		r.lives = append(r.lives, 0)
		r.synced = append(r.synced, 0)
		r.begin(i)
	}
	return r
}

func (r *run) command(c *statev1.Command) {
	c.Operator, c.Digest = "op", fmt.Sprint(c.Number)
	r.state.Apply(&statev1.Entry{Kind: &statev1.Entry_Command{Command: c}})
}

func (r *run) begin(i int) {
	r.lives[i]++
	incarnation := fmt.Sprint(r.lives[i])
	r.ledgers[i] = ledger.New(ledger.Options{RetentionWindow: time.Hour, BoxTimeout: time.Hour}, incarnation, time.Unix(0, 0), r.now)
	r.state.Apply(&statev1.Entry{Kind: &statev1.Entry_RegisterKeeper{RegisterKeeper: &statev1.RegisterKeeper{Box: r.boxes[i], Incarnation: incarnation}}})
}

func (r *run) holder(i int) string { return state.Holder(r.boxes[i], fmt.Sprint(r.lives[i])) }

func (r *run) times() ledger.Times {
	return ledger.Times{Wall: time.Unix(0, 0).Add(r.now), Boot: r.now}
}

// cutOff tells whether a data centre can't reach control now.
func (r *run) cutOff(i int) bool {
	cut := len(r.boxes) - 1
	if r.scene.busiest {
		cut = 0
	}
	return r.scene.cut && i == cut && r.now >= cutFrom && r.now < cutTo
}

func (r *run) play(list []arrival) {
	next := 0
	for r.now = 0; r.now < runTime+time.Minute; r.now += tick {
		r.faults()
		r.end()
		for next < len(list) && list[next].at <= r.now {
			r.arrive(list[next], fmt.Sprint("key-", next))
			next++
		}
		r.sync()
		r.retry()
	}
}

func (r *run) faults() {
	if !r.scene.lose {
		return
	}
	if r.now == cutFrom {
		r.away[0] = true
		if !r.scene.withDisk {
			r.dropRunning(0)
		}
	}
	if r.now == cutFrom+time.Minute {
		r.away[0] = false
		if !r.scene.withDisk {
			r.begin(0)
		}
	}
}

// dropRunning counts what runs on at its targets after its ledger was lost.
func (r *run) dropRunning(i int) {
	var kept []running
	for _, one := range r.running {
		if one.holder == r.holder(i) {
			r.served += one.used
			continue
		}
		kept = append(kept, one)
	}
	r.running = kept
}

// arrive reserves at the ledger of the data centre, or at the next one while
// that is away.
func (r *run) arrive(a arrival, key string) {
	r.all++
	for r.away[a.dc] {
		a.dc = (a.dc + 1) % len(r.ledgers)
	}
	if r.reserve(a, key) {
		return
	}
	r.waiting = append(r.waiting, waiting{arrival: a, key: key, until: r.now + patience})
}

func (r *run) reserve(a arrival, key string) bool {
	l := r.ledgers[a.dc]
	out := l.Reserve(&statev1.RequestRecord{Group: groupName, Key: key, Budget: budgetName, Bound: a.bound, Deadline: runTime.Milliseconds()}, "box", r.times())
	if out.Status != betweenv1.ReserveStatus_RESERVE_STATUS_GRANTED {
		return false
	}
	l.Start(groupName, key, ledger.StartOptions{Attempt: out.Request.GetAttempt(), Target: "engine"}, r.times())
	r.running = append(r.running, running{arrival: a, key: key, attempt: out.Request.GetAttempt(), ends: r.now + a.duration, holder: r.holder(a.dc)})
	return true
}

func (r *run) end() {
	var kept []running
	for _, one := range r.running {
		if one.ends > r.now || r.away[one.dc] {
			kept = append(kept, one)
			continue
		}
		r.ledgers[one.dc].Settle(groupName, one.key, ledger.Bill{Attempt: one.attempt, Used: one.used}, r.times())
		r.served += one.used
	}
	r.running = kept
}

// retry serves waiting requests, and refuses those that have waited enough or
// whose budget is spent.
func (r *run) retry() {
	var kept []waiting
	for _, w := range r.waiting {
		if r.reserve(w.arrival, w.key) {
			continue
		}
		if r.now < w.until {
			kept = append(kept, w)
			continue
		}
		r.refused++
		if r.oracleFree() >= w.bound {
			r.wrong++
		}
	}
	r.waiting = kept
	for i, l := range r.ledgers {
		need := uint64(0)
		for _, w := range kept {
			if w.dc == i {
				need += w.bound
			}
		}
		l.SetNeed(budgetName, need-min(need, l.Budget(budgetName).Free()))
	}
}

// oracleFree is what of the budget is neither used nor reserved anywhere. What
// a lost ledger held is spent, for the oracle as well: nobody can know better.
func (r *run) oracleFree() uint64 {
	b := r.state.Budgets[budgetName]
	free := b.Granted
	inForce := map[string]bool{}
	for i, l := range r.ledgers {
		inForce[r.holder(i)] = true
		row := l.Budget(budgetName)
		free -= row.Row.GetSpent() + row.Reserved
	}
	for _, a := range b.Allotments {
		if !inForce[a.GetHolder()] {
			free -= state.Held(a)
		}
	}
	return free
}

func (r *run) sync() {
	for i, l := range r.ledgers {
		urgent := l.Budget(budgetName).Need > 0
		if r.away[i] || r.cutOff(i) || (!urgent && r.now-r.synced[i] < syncEvery) {
			continue
		}
		r.synced[i] = r.now
		r.report(i, l)
	}
}

func (r *run) report(i int, l *ledger.Ledger) {
	report := l.Report(budgetName, r.now)
	if report.GetRate() == 0 && report.GetNeed() == 0 && report.GetSpent() == 0 && len(r.state.Untold[r.holder(i)]) == 0 {
		return
	}
	r.apply(i, report, nil)
	plan := r.plan(i, report)
	grants := []*statev1.Grant{{Budget: budgetName, Tokens: plan.Grant}}
	for _, m := range plan.Spread {
		if j := r.find(m.Holder); j >= 0 && !r.away[j] && !r.cutOff(j) {
			grants = append(grants, &statev1.Grant{Budget: budgetName, Tokens: m.Tokens, Holder: m.Holder})
		}
	}
	r.apply(i, report, grants)
	for _, m := range plan.Recalls {
		if j := r.find(m.Holder); j >= 0 && !r.away[j] && !r.cutOff(j) {
			r.ledgers[j].Return(budgetName, m.Tokens)
			r.apply(j, r.ledgers[j].Report(budgetName, r.now), nil)
		}
	}
	if len(plan.Recalls) > 0 {
		again := r.plan(i, report)
		r.apply(i, report, []*statev1.Grant{{Budget: budgetName, Tokens: again.Grant}})
	}
	l.SetAllotted(budgetName, r.state.Budgets[budgetName].AllotmentOf(r.holder(i)).GetAllotted())
}

func (r *run) find(holder string) int {
	for i := range r.ledgers {
		if r.holder(i) == holder {
			return i
		}
	}
	return -1
}

func (r *run) apply(i int, report *statev1.BudgetReport, grants []*statev1.Grant) {
	m := &statev1.Sync{Holder: r.holder(i), Reports: []*statev1.BudgetReport{report}, Grants: grants}
	r.state.Apply(&statev1.Entry{Kind: &statev1.Entry_Sync{Sync: m}})
}

func (r *run) plan(asker int, report *statev1.BudgetReport) allot.Plan {
	b := r.state.Budgets[budgetName]
	var holders []allot.Holder
	for i := range r.ledgers {
		a := b.AllotmentOf(r.holder(i))
		h := allot.Holder{Name: r.holder(i), Rate: a.GetRate(), Need: a.GetNeed()}
		if a != nil {
			h.Free = state.Held(a) - min(state.Held(a), a.GetSpent()+a.GetReserved())
		}
		if i == asker {
			h.Rate, h.Need = report.GetRate(), report.GetNeed()
		}
		holders = append(holders, h)
	}
	return r.policy.Plan(b.Unallotted(), holders, asker)
}

// sum adds the rows of one policy up.
type sum struct {
	refused, wrong, all int
	over                uint64
}

func main() {
	for _, p := range places {
		fmt.Printf("\n### %s, %v requests a second\n\n", p.name, p.demand)
		fmt.Println("| scenario | policy | requests | refused | false refusals | overspend |")
		fmt.Println("|---|---|---:|---:|---:|---:|")
		sums := make([]sum, len(policies))
		for _, s := range scenarios {
			list, budget := demand(p, s)
			for i, by := range policies {
				r := newRun(p, s, by.policy, budget)
				r.play(list)
				over := r.served - min(r.served, budget)
				fmt.Printf("| %s | %s | %d | %d | %d | %d |\n", s.name, by.name, r.all, r.refused, r.wrong, over)
				sums[i].refused += r.refused
				sums[i].wrong += r.wrong
				sums[i].all += r.all
				sums[i].over += over
			}
		}
		for i, by := range policies {
			fmt.Printf("| **all** | %s | %d | %d | %d | %d |\n", by.name, sums[i].all, sums[i].refused, sums[i].wrong, sums[i].over)
		}
	}
}
