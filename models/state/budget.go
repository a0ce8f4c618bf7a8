// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// Budget is a prepaid amount, split among holders as in an escrow (O'Neil
// 1986; bounded counters, Balegas et al. 2015). What is granted is at any time
// at least what all holders together were allotted and have not returned, and
// a holder spends only from that, so no cut can lead to overspending.
type Budget struct {
	Name    string
	Granted uint64
	// Allotments stand in the order of their holders' names; a budget has few,
	// and a table for each would take more memory than the rows.
	Allotments []*statev1.Allotment
	// held is the sum over all holders of allotted less returned.
	held uint64
}

func newBudget(name string, tokens uint64) *Budget {
	return &Budget{Name: name, Granted: tokens}
}

func (b *Budget) row() *statev1.Budget {
	return &statev1.Budget{Name: b.Name, Granted: b.Granted, Allotments: slices.Clone(b.Allotments)}
}

func budgetOf(row *statev1.Budget) *Budget {
	b := newBudget(row.GetName(), row.GetGranted())
	for _, a := range row.GetAllotments() {
		b.insert(a)
		b.held += Held(a)
	}
	return b
}

// Held is what a holder was allotted and has not returned, spent or not.
func Held(a *statev1.Allotment) uint64 { return a.GetAllotted() - a.GetReturned() }

// Unallotted is what no holder has; zero also where the amount was lowered
// below what holders have.
func (b *Budget) Unallotted() uint64 {
	if b.Granted < b.held {
		return 0
	}
	return b.Granted - b.held
}

// HeldByAll is what all holders together have, spent or not.
func (b *Budget) HeldByAll() uint64 { return b.held }

// Spent is what all holders have reported as spent.
func (b *Budget) Spent() uint64 {
	spent := uint64(0)
	for _, a := range b.Allotments {
		spent += a.GetSpent()
	}
	return spent
}

// Of returns a holder's row, nil when it has none.
func (b *Budget) Of(holder string) *statev1.Allotment {
	if at, found := b.find(holder); found {
		return b.Allotments[at]
	}
	return nil
}

func (b *Budget) find(holder string) (int, bool) {
	return slices.BinarySearchFunc(b.Allotments, holder, func(a *statev1.Allotment, wanted string) int {
		return strings.Compare(a.GetHolder(), wanted)
	})
}

func (b *Budget) insert(a *statev1.Allotment) {
	at, _ := b.find(a.GetHolder())
	b.Allotments = slices.Insert(b.Allotments, at, a)
}

// replace puts a fresh copy of a holder's row in place of the old one, for the
// caller to change: a snapshot may hold the old one.
func (b *Budget) replace(holder string) *statev1.Allotment {
	at, found := b.find(holder)
	if !found {
		a := &statev1.Allotment{Holder: holder}
		b.insert(a)
		return a
	}
	b.Allotments[at] = proto.CloneOf(b.Allotments[at])
	return b.Allotments[at]
}

// grant allots at most the named tokens.
func (b *Budget) grant(holder string, tokens uint64) {
	tokens = min(tokens, b.Unallotted())
	if tokens == 0 {
		return
	}
	b.replace(holder).Allotted += tokens
	b.held += tokens
}

// report takes a holder's counters in; older ones change nothing.
func (b *Budget) report(holder string, r *statev1.BudgetReport) {
	a := b.replace(holder)
	if r.GetReturned() > a.GetReturned() && r.GetReturned() <= a.GetAllotted() {
		b.held -= r.GetReturned() - a.GetReturned()
		a.Returned = r.GetReturned()
	}
	a.Spent = max(a.GetSpent(), min(r.GetSpent(), Held(a)))
	a.Reserved, a.Rate, a.Need = r.GetReserved(), r.GetRate(), r.GetNeed()
}

// ErrHolderLost says that a ledger is no longer in force.
type ErrHolderLost struct {
	Holder string
}

func (e ErrHolderLost) Error() string {
	return "ledger " + e.Holder + " is not in force: register it, or start the box with an empty data folder"
}

// SyncAnswer is the answer to a Sync.
type SyncAnswer struct {
	// Budgets are the names that were reported or granted.
	Budgets []string
	Err     error
}

func (s *State) applySync(m *statev1.Sync) SyncAnswer {
	if !s.InForce(m.GetHolder()) {
		return SyncAnswer{Err: ErrHolderLost{Holder: m.GetHolder()}}
	}
	var names []string
	for _, r := range m.GetReports() {
		if b := s.Budgets[r.GetBudget()]; b != nil {
			b.report(m.GetHolder(), r)
			s.told(m.GetHolder(), b.Name)
			names = append(names, b.Name)
		}
	}
	for _, g := range m.GetGrants() {
		s.grant(m.GetHolder(), g)
	}
	for _, u := range m.GetUsages() {
		s.putUsage(m.GetHolder(), u)
	}
	return SyncAnswer{Budgets: names}
}

// grant allots tokens; a holder that did not ask is told with its next report.
func (s *State) grant(asker string, g *statev1.Grant) {
	b := s.Budgets[g.GetBudget()]
	holder := g.GetHolder()
	if holder == "" {
		holder = asker
	}
	if b == nil || !s.InForce(holder) {
		return
	}
	b.grant(holder, g.GetTokens())
	if holder != asker {
		s.tell(holder, b.Name)
	}
}

func (s *State) tell(holder, budget string) {
	if s.Untold[holder] == nil {
		s.Untold[holder] = map[string]bool{}
	}
	s.Untold[holder][budget] = true
}

func (s *State) told(holder, budget string) {
	delete(s.Untold[holder], budget)
	if len(s.Untold[holder]) == 0 {
		delete(s.Untold, holder)
	}
}

func (s *State) putUsage(holder string, u *statev1.GroupUsage) {
	rows := s.Usages[u.GetGroup()]
	at := slices.IndexFunc(rows, func(row *statev1.GroupUsage) bool { return row.GetHolder() == holder })
	if at < 0 {
		at = len(rows)
		rows = append(rows, nil)
	}
	old := rows[at]
	rows[at] = &statev1.GroupUsage{
		Group:      u.GetGroup(),
		Holder:     holder,
		Spent:      max(old.GetSpent(), u.GetSpent()),
		Requests:   max(old.GetRequests(), u.GetRequests()),
		Reserved:   u.GetReserved(),
		Waiting:    u.GetWaiting(),
		WrittenOff: max(old.GetWrittenOff(), u.GetWrittenOff()),
	}
	s.Usages[u.GetGroup()] = rows
}

// InForce tells whether a ledger is the one of its box that counts.
func (s *State) InForce(holder string) bool {
	for _, k := range s.Keepers {
		if k.GetHolder() == holder {
			return true
		}
	}
	return false
}

// RegisterAnswer is the answer to a RegisterKeeper.
type RegisterAnswer struct {
	Holder string
	Err    error
}

// Holder is the name of a keeper's ledger.
func Holder(box, incarnation string) string { return box + "@" + incarnation }

func (s *State) applyRegister(r *statev1.RegisterKeeper) RegisterAnswer {
	holder := Holder(r.GetBox(), r.GetIncarnation())
	old := s.Keepers[r.GetBox()]
	for _, lost := range old.GetLost() {
		if lost == holder {
			return RegisterAnswer{Err: ErrHolderLost{Holder: holder}}
		}
	}
	next := &statev1.KeeperMember{Box: r.GetBox(), DataCentre: r.GetDataCentre(), Address: r.GetAddress(), Holder: holder, Joined: r.GetTime()}
	switch {
	case old != nil:
		next.Joined = old.GetJoined()
	case len(s.Keys) == 0:
		// No caller can have sent anything yet, so no other keeper can have a
		// record of a key that is at home here.
		next.Joined = 0
	}
	next.Lost = append(next.Lost, old.GetLost()...)
	if old != nil && old.GetHolder() != holder {
		next.Lost = append(next.Lost, old.GetHolder())
	}
	if old == nil || old.GetHolder() != holder || old.GetAddress() != r.GetAddress() || old.GetDataCentre() != r.GetDataCentre() {
		s.change(&statev1.Change{Row: &statev1.Change_Keeper{Keeper: next}})
	}
	return RegisterAnswer{Holder: holder}
}
