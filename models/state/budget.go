// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// Budget is a prepaid number of tokens, split among holders by the escrow method
// (O'Neil 1986; bounded counters, Balegas et al. 2015). At any time the tokens
// that holders were allotted and have not returned are at most the granted ones.
// A holder spends only its own, so a partition can't lead to overspending.
type Budget struct {
	Name    string
	Granted uint64
	// Allotments are sorted by the holder's name. A budget has few of them, and a
	// map per budget would take more memory than the rows.
	Allotments []*statev1.Allotment
	// held is the sum of Held over all allotments.
	held uint64
}

func newBudget(name string, tokens uint64) *Budget {
	return &Budget{Name: name, Granted: tokens}
}

func (b *Budget) row() *statev1.Budget {
	return &statev1.Budget{Name: b.Name, Granted: b.Granted, Allotments: slices.Clone(b.Allotments)}
}

func budgetFromRow(row *statev1.Budget) *Budget {
	b := newBudget(row.GetName(), row.GetGranted())
	for _, a := range row.GetAllotments() {
		b.insert(a)
		b.held += Held(a)
	}
	return b
}

// Held returns the number of tokens, spent or not, that a holder was allotted and
// has not returned.
func Held(a *statev1.Allotment) uint64 { return a.GetAllotted() - a.GetReturned() }

// Unallotted returns the number of granted tokens that no holder has. It is zero
// if the grant was reduced below what holders have.
func (b *Budget) Unallotted() uint64 {
	if b.Granted < b.held {
		return 0
	}
	return b.Granted - b.held
}

// TotalHeld returns the sum of Held over all holders.
func (b *Budget) TotalHeld() uint64 { return b.held }

// Spent returns the sum of the tokens that holders have reported as spent.
func (b *Budget) Spent() uint64 {
	spent := uint64(0)
	for _, a := range b.Allotments {
		spent += a.GetSpent()
	}
	return spent
}

// AllotmentOf returns a holder's allotment, or nil if it has none.
func (b *Budget) AllotmentOf(holder string) *statev1.Allotment {
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

// replace replaces a holder's row by a copy, or by a new row if there is none, and
// returns it for modification. The old row must not be modified, since a snapshot
// may refer to it.
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

// grant allots tokens to a holder, at most the unallotted ones.
func (b *Budget) grant(holder string, tokens uint64) {
	tokens = min(tokens, b.Unallotted())
	if tokens == 0 {
		return
	}
	b.replace(holder).Allotted += tokens
	b.held += tokens
}

// applyReport applies a holder's reported counters. Values of returned and spent
// lower than the known ones come from an older report and are ignored.
func (b *Budget) applyReport(holder string, r *statev1.BudgetReport) {
	a := b.replace(holder)
	if r.GetReturned() > a.GetReturned() && r.GetReturned() <= a.GetAllotted() {
		b.held -= r.GetReturned() - a.GetReturned()
		a.Returned = r.GetReturned()
	}
	a.Spent = max(a.GetSpent(), min(r.GetSpent(), Held(a)))
	a.Reserved, a.Rate, a.Need = r.GetReserved(), r.GetRate(), r.GetNeed()
}

// ErrHolderLost reports that a ledger is not the registered one of its box.
type ErrHolderLost struct {
	Holder string
}

func (e ErrHolderLost) Error() string {
	return "ledger " + e.Holder + " is not in force: register it, or start the box with an empty data folder"
}

// SyncResult is the result of applying a Sync.
type SyncResult struct {
	// Budgets holds the names of the reported budgets.
	Budgets []string
	// Err is an ErrHolderLost, or nil.
	Err error
}

func (s *State) applySync(m *statev1.Sync) SyncResult {
	if !s.IsInForce(m.GetHolder()) {
		return SyncResult{Err: ErrHolderLost{Holder: m.GetHolder()}}
	}
	var names []string
	for _, r := range m.GetReports() {
		if b := s.Budgets[r.GetBudget()]; b != nil {
			b.applyReport(m.GetHolder(), r)
			s.clearUntold(m.GetHolder(), b.Name)
			names = append(names, b.Name)
		}
	}
	for _, g := range m.GetGrants() {
		s.grant(m.GetHolder(), g)
	}
	for _, u := range m.GetUsages() {
		s.putUsage(m.GetHolder(), u)
	}
	return SyncResult{Budgets: names}
}

// grant allots tokens to a holder. One other than the asker is recorded in Untold
// and learns of the grant in the answer to its next report.
func (s *State) grant(asker string, g *statev1.Grant) {
	b := s.Budgets[g.GetBudget()]
	holder := g.GetHolder()
	if holder == "" {
		holder = asker
	}
	if b == nil || !s.IsInForce(holder) {
		return
	}
	b.grant(holder, g.GetTokens())
	if holder != asker {
		s.markUntold(holder, b.Name)
	}
}

func (s *State) markUntold(holder, budget string) {
	if s.Untold[holder] == nil {
		s.Untold[holder] = map[string]bool{}
	}
	s.Untold[holder][budget] = true
}

func (s *State) clearUntold(holder, budget string) {
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

// IsInForce reports whether a ledger is the registered one of its box.
func (s *State) IsInForce(holder string) bool {
	for _, k := range s.Keepers {
		if k.GetHolder() == holder {
			return true
		}
	}
	return false
}

// RegisterResult is the result of applying a RegisterKeeper. Err is an
// ErrHolderLost if a later ledger of the box has replaced this one.
type RegisterResult struct {
	Holder string
	Err    error
}

// Holder returns the name of a keeper's ledger.
func Holder(box, incarnation string) string { return box + "@" + incarnation }

func (s *State) applyRegisterKeeper(r *statev1.RegisterKeeper) RegisterResult {
	holder := Holder(r.GetBox(), r.GetIncarnation())
	old := s.Keepers[r.GetBox()]
	for _, lost := range old.GetLost() {
		if lost == holder {
			return RegisterResult{Err: ErrHolderLost{Holder: holder}}
		}
	}
	next := &statev1.KeeperMember{Box: r.GetBox(), DataCentre: r.GetDataCentre(), Address: r.GetAddress(), Holder: holder, Joined: r.GetTime()}
	switch {
	case old != nil:
		next.Joined = old.GetJoined()
	case len(s.Keys) == 0:
		// Without access keys no caller can have sent a request yet, so no other
		// keeper can have a record of a key whose home is this one.
		next.Joined = 0
	}
	next.Lost = append(next.Lost, old.GetLost()...)
	if old != nil && old.GetHolder() != holder {
		next.Lost = append(next.Lost, old.GetHolder())
	}
	if old == nil || old.GetHolder() != holder || old.GetAddress() != r.GetAddress() || old.GetDataCentre() != r.GetDataCentre() {
		s.change(&statev1.Change{Row: &statev1.Change_Keeper{Keeper: next}})
	}
	return RegisterResult{Holder: holder}
}
