// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger_test

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/ledger"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/tests/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

const (
	budgetName = "north/main"
	groupName  = "north/a"
)

var options = ledger.Options{RetentionWindow: time.Hour, BoxTimeout: 3 * time.Second}

// holder is a ledger with its simulated disk.
type holder struct {
	box          string
	ledger       *ledger.Ledger
	disk         [][]byte
	incarnations int
	// served is the number of tokens that targets used for requests of this
	// ledger.
	served uint64
}

// escrowModel consists of control, three holders, and messages between them that
// are lost, repeated and reordered.
type escrowModel struct {
	t       *rapid.T
	state   *state.State
	holders []*holder
	// reports and answers are messages in transit.
	reports []*statev1.Sync
	answers []allotmentAnswer
	now     ledger.Times
	keys    int
	// served is the number of tokens that targets have used in all runs.
	served uint64
	// losesDisks allows steps that lose a holder's disk.
	losesDisks bool
}

type allotmentAnswer struct {
	holder   string
	allotted uint64
}

func newEscrowModel(t *rapid.T) *escrowModel {
	w := &escrowModel{t: t, state: state.New()}
	w.now = ledger.Times{Wall: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), Boot: time.Hour}
	w.command(&statev1.Command{Action: &statev1.Command_CreateOrganisation{CreateOrganisation: &statev1.CreateOrganisation{Name: "north", Share: 1}}})
	w.command(&statev1.Command{Action: &statev1.Command_CreateBudget{CreateBudget: &statev1.CreateBudget{Name: budgetName, Tokens: 400}}})
	for _, box := range []string{"k1", "k2", "k3"} {
		h := &holder{box: box}
		w.holders = append(w.holders, h)
		w.startLedger(h)
	}
	return w
}

func (w *escrowModel) command(c *statev1.Command) *statev1.CommandResult {
	w.keys++
	c.Operator, c.Number, c.Digest = "op", uint64(w.keys), fmt.Sprint(w.keys)
	return w.state.Apply(&statev1.Entry{Kind: &statev1.Entry_Command{Command: c}}).(*statev1.CommandResult)
}

// startLedger starts a new ledger on an empty disk.
func (w *escrowModel) startLedger(h *holder) {
	h.incarnations++
	h.ledger = ledger.New(options, fmt.Sprintf("%s-%d", h.box, h.incarnations), w.now.Wall, w.now.Boot)
	h.disk, h.served = nil, 0
	answer := w.state.Apply(&statev1.Entry{Kind: &statev1.Entry_RegisterKeeper{RegisterKeeper: &statev1.RegisterKeeper{Box: h.box, Incarnation: h.ledger.Incarnation}}})
	if err := answer.(state.RegisterResult).Err; err != nil {
		w.t.Fatal(err)
	}
}

func (h *holder) name() string { return state.Holder(h.box, h.ledger.Incarnation) }

// store writes records to a holder's disk.
func (w *escrowModel) store(h *holder, records []*statev1.LedgerRecord) {
	for _, r := range records {
		data, err := proto.Marshal(r)
		if err != nil {
			w.t.Fatal(err)
		}
		h.disk = append(h.disk, data)
	}
}

// restart loads a ledger from its disk. Changes that were not stored are lost.
func (w *escrowModel) restart(h *holder) {
	fresh := ledger.New(options, h.ledger.Incarnation, w.now.Wall, w.now.Boot)
	for _, data := range h.disk {
		var r statev1.LedgerRecord
		if err := proto.Unmarshal(data, &r); err != nil {
			w.t.Fatal(err)
		}
		fresh.Replay(&r)
	}
	h.ledger = fresh
}

func (w *escrowModel) randomHolder() *holder { return rapid.SampledFrom(w.holders).Draw(w.t, "holder") }

func (w *escrowModel) reserve(h *holder, key string, foreign string) {
	bound := rapid.Uint64Range(1, 200).Draw(w.t, "bound")
	r := &statev1.RequestRecord{Group: groupName, Key: key, Budget: budgetName, Bound: bound, Repeatable: true, ForeignHome: foreign, Deadline: w.now.Wall.Add(time.Hour).UnixMilli()}
	out := h.ledger.Reserve(r, "entry@1", w.now)
	if rapid.IntRange(0, 9).Draw(w.t, "die") == 0 {
		w.restart(h)
		return
	}
	w.store(h, out.Records)
	if out.Status == betweenv1.ReserveStatus_RESERVE_STATUS_EXHAUSTED {
		h.ledger.SetNeed(budgetName, bound)
	}
}

// advanceRequest starts a reserved request of a holder, or ends a started one.
func (w *escrowModel) advanceRequest(h *holder) {
	var open []string
	for key, r := range h.ledger.Requests {
		if ledger.IsOpen(r) {
			open = append(open, key)
		}
	}
	if len(open) == 0 {
		return
	}
	sort.Strings(open)
	r := h.ledger.Requests[rapid.SampledFrom(open).Draw(w.t, "key")]
	if r.GetState() == statev1.RequestState_REQUEST_STATE_RESERVED {
		out, ok := h.ledger.Start(r.GetGroup(), r.GetKey(), ledger.StartOptions{Attempt: r.GetAttempt(), Target: "engine"}, w.now)
		if !ok {
			w.t.Fatalf("start of %s refused", r.GetKey())
		}
		w.store(h, out.Records)
		return
	}
	w.settleOrRerun(h, r)
}

func (w *escrowModel) settleOrRerun(h *holder, r *statev1.RequestRecord) {
	used := rapid.Uint64Range(0, r.GetBound()+50).Draw(w.t, "used")
	if rapid.IntRange(0, 4).Draw(w.t, "another run") == 0 {
		// The first run is lost. The tokens it may have used remain deducted from
		// the budget.
		out, ok := h.ledger.Start(r.GetGroup(), r.GetKey(), ledger.StartOptions{Attempt: r.GetAttempt(), Target: "other", Lost: min(used, r.GetBound())}, w.now)
		if ok {
			w.addServed(h, min(used, r.GetBound()))
			w.store(h, out.Records)
		}
		return
	}
	out := h.ledger.Settle(r.GetGroup(), r.GetKey(), ledger.Bill{Attempt: r.GetAttempt(), Used: used}, w.now)
	w.addServed(h, min(used, r.GetBound()))
	w.store(h, out.Records)
	// A repeated settlement must change nothing.
	if again := h.ledger.Settle(r.GetGroup(), r.GetKey(), ledger.Bill{Attempt: r.GetAttempt(), Used: used + 1}, w.now); len(again.Records) > 0 {
		w.t.Fatal("a repeated settlement changed the ledger")
	}
}

func (w *escrowModel) addServed(h *holder, tokens uint64) {
	w.served += tokens
	h.served += tokens
}

func (w *escrowModel) report(h *holder) {
	reports, usages := h.ledger.Reports(10, w.now.Boot)
	w.reports = append(w.reports, &statev1.Sync{Holder: h.name(), Reports: reports, Usages: usages})
}

// applyReport applies one report in transit, which may be late or repeated, with
// a random grant.
func (w *escrowModel) applyReport() {
	if len(w.reports) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.reports)-1).Draw(w.t, "report")
	m := proto.CloneOf(w.reports[i])
	m.Grants = []*statev1.Grant{{Budget: budgetName, Tokens: rapid.Uint64Range(0, 500).Draw(w.t, "grant")}}
	if rapid.Bool().Draw(w.t, "forget") {
		w.reports = append(w.reports[:i], w.reports[i+1:]...)
	}
	w.state.Apply(&statev1.Entry{Kind: &statev1.Entry_Sync{Sync: m}})
	if a := w.state.Budgets[budgetName].AllotmentOf(m.GetHolder()); a != nil {
		w.answers = append(w.answers, allotmentAnswer{holder: m.GetHolder(), allotted: a.GetAllotted()})
	}
}

// deliverAllotment delivers one of control's answers to its holder.
func (w *escrowModel) deliverAllotment() {
	if len(w.answers) == 0 {
		return
	}
	r := w.answers[rapid.IntRange(0, len(w.answers)-1).Draw(w.t, "row")]
	for _, h := range w.holders {
		if h.name() == r.holder {
			w.store(h, h.ledger.SetAllotted(budgetName, r.allotted))
		}
	}
}

func (w *escrowModel) step() {
	w.now.Wall = w.now.Wall.Add(time.Millisecond)
	w.now.Boot += time.Millisecond
	switch rapid.SampledFrom([]string{"reserve", "reserve", "again", "work", "work", "work", "work", "report", "report", "control", "control", "allot", "allot", "return", "restart", "wipe", "grant", "reduce", "claim", "again", "again"}).Draw(w.t, "step") {
	case "reserve":
		w.keys++
		w.reserve(w.randomHolder(), fmt.Sprintf("key-%d", w.keys), "")
	case "again":
		// The same key at any holder, as when its home is unreachable.
		w.reserve(w.randomHolder(), fmt.Sprintf("shared-%d", rapid.IntRange(0, 2).Draw(w.t, "key")), "k1")
	case "work":
		w.advanceRequest(w.randomHolder())
	case "report":
		w.report(w.randomHolder())
	case "control":
		w.applyReport()
	case "allot":
		w.deliverAllotment()
	case "return":
		h := w.randomHolder()
		w.store(h, h.ledger.Return(budgetName, rapid.Uint64Range(0, 300).Draw(w.t, "return")))
	case "restart":
		w.restart(w.randomHolder())
	case "wipe":
		if w.losesDisks {
			w.wipeDisk(w.randomHolder())
		}
	case "grant":
		w.command(&statev1.Command{Action: &statev1.Command_GrantBudget{GrantBudget: &statev1.GrantBudget{Name: budgetName, Tokens: 100}}})
	case "reduce":
		w.command(&statev1.Command{Action: &statev1.Command_ReduceBudget{ReduceBudget: &statev1.ReduceBudget{Name: budgetName, Tokens: rapid.Uint64Range(1, 400).Draw(w.t, "reduce")}}})
	case "claim":
		w.resolveClaims(w.randomHolder())
	}
}

// wipeDisk replaces a holder's disk by an empty one. Its open runs continue
// without a record, so they count as served in full.
func (w *escrowModel) wipeDisk(h *holder) {
	for _, r := range h.ledger.Requests {
		if r.GetState() == statev1.RequestState_REQUEST_STATE_STARTED {
			w.served += r.GetBound()
		}
	}
	w.startLedger(h)
}

// resolveClaims sends a holder's pending claims to the home ledger and applies
// the answers.
func (w *escrowModel) resolveClaims(h *holder) {
	for _, r := range h.ledger.PendingClaims(100) {
		home := w.holders[0]
		if home == h {
			w.store(h, h.ledger.ApplyClaimAnswer(r.GetGroup(), r.GetKey(), true, h.name(), w.now).Records)
			continue
		}
		granted, by, out := home.ledger.Claim(r, h.name(), w.now)
		w.store(home, out.Records)
		w.store(h, h.ledger.ApplyClaimAnswer(r.GetGroup(), r.GetKey(), granted, by, w.now).Records)
	}
}

// check verifies that the tokens served and reserved never exceed the granted
// ones, and that every ledger stays within its allotment.
func (w *escrowModel) check() {
	granted := w.state.Budgets[budgetName].Granted
	total := w.served
	for _, h := range w.holders {
		b := h.ledger.Budget(budgetName)
		total += b.Reserved
		if b.Row.GetSpent() != h.served {
			w.t.Fatalf("%s counts %d tokens as spent, %d were served", h.name(), b.Row.GetSpent(), h.served)
		}
		if used := b.Row.GetReturned() + b.Row.GetSpent() + b.Reserved; used > b.Row.GetAllotted() {
			w.t.Fatalf("%s has used %d of %d allotted tokens", h.name(), used, b.Row.GetAllotted())
		}
	}
	if total > granted {
		w.t.Fatalf("%d tokens are served or reserved, %d granted", total, granted)
	}
	if held := w.state.Budgets[budgetName].TotalHeld(); held > granted {
		w.t.Fatalf("%d tokens are allotted, %d granted", held, granted)
	}
}

// settleAll ends all requests and checks that each key is billed at most once.
func (w *escrowModel) settleAll() {
	for range 3 {
		for _, h := range w.holders {
			w.resolveClaims(h)
		}
	}
	for _, h := range w.holders {
		for _, r := range h.ledger.Requests {
			if ledger.IsOpen(r) {
				out := h.ledger.Settle(r.GetGroup(), r.GetKey(), ledger.Bill{Attempt: r.GetAttempt(), Used: r.GetBound()}, w.now)
				w.addServed(h, r.GetBound())
				w.store(h, out.Records)
			}
		}
	}
	w.check()
	bills := map[string]string{}
	for _, h := range w.holders {
		for _, r := range h.ledger.Requests {
			if r.GetState() != statev1.RequestState_REQUEST_STATE_DONE {
				continue
			}
			if other := bills[r.GetKey()]; other != "" {
				w.t.Fatalf("key %s is billed by %s and by %s", r.GetKey(), other, h.name())
			}
			bills[r.GetKey()] = h.name()
		}
	}
}

// TestRandomEscrow checks that budgets are never overspent under random
// schedules of lost, repeated and reordered messages, restarts, lost disks,
// grants and reductions.
func TestRandomEscrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newEscrowModel(t)
		w.losesDisks = rapid.IntRange(0, 3).Draw(t, "wipes") == 0
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			w.step()
			w.check()
		}
		if !w.losesDisks {
			// A home that has lost its disk no longer knows who bills its keys, so
			// a key may be billed twice.
			w.settleAll()
		}
	})
}
