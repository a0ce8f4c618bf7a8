// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package state implements the deterministic state machine that the control boxes
// replicate: organisations, groups, keys, budgets with their allotments, the
// revisions of the configuration, and the results of operators' commands. Applying
// the same entries in the same order yields the same state on every box.
package state

import (
	"slices"
	"sort"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/quarantine"
)

const (
	// Version is the version of the snapshot format.
	Version = 1
	// MaxChanges is the number of changes that are kept at least, so that followers
	// can catch up.
	MaxChanges = 4096
	// MaxResults is the number of command results that are kept for each operator.
	MaxResults = 1024
	// MaxTokens is the maximum of an amount, so that sums of amounts can't overflow.
	MaxTokens = uint64(1) << 53
)

// State holds the tables. It is not safe for concurrent use.
type State struct {
	Revision      uint64
	Organisations map[string]*statev1.Organisation
	Groups        map[string]*statev1.Group
	Keys          map[string]*statev1.AccessKey
	Drains        map[string]*statev1.Drain
	Rollouts      map[string]*statev1.Rollout
	Keepers       map[string]*statev1.KeeperMember
	Budgets       map[string]*Budget
	// Usages holds, by group, the last reported usage of each holder.
	Usages  map[string][]*statev1.GroupUsage
	Results map[string][]*statev1.CommandResult
	Changes []*statev1.Change
	// Orders holds the newest order of each kind to each target, by OrderKey.
	Orders map[string]*statev1.Order
	// LastToken is the fencing token of the newest order.
	LastToken uint64
	// Untold holds, by holder, the budgets of which it was granted tokens without
	// asking and which it has not reported since.
	Untold map[string]map[string]bool
	// Routing is the state for calls that are proxied to targets.
	Routing *Routing
	// Quarantine holds the calls during which targets ended.
	Quarantine *quarantine.Table
}

// New returns an empty state.
func New() *State {
	return &State{
		Organisations: map[string]*statev1.Organisation{},
		Groups:        map[string]*statev1.Group{},
		Keys:          map[string]*statev1.AccessKey{},
		Drains:        map[string]*statev1.Drain{},
		Rollouts:      map[string]*statev1.Rollout{},
		Keepers:       map[string]*statev1.KeeperMember{},
		Budgets:       map[string]*Budget{},
		Usages:        map[string][]*statev1.GroupUsage{},
		Results:       map[string][]*statev1.CommandResult{},
		Untold:        map[string]map[string]bool{},
		Orders:        map[string]*statev1.Order{},
		Routing:       newRouting(),
		Quarantine:    quarantine.NewTable(),
	}
}

// Apply applies one log entry and returns its result: a *statev1.CommandResult, a
// SyncResult, a RegisterResult, a LeaseResult, the quarantine transitions of calls,
// nil, or an error if the entry can't be read.
func (s *State) Apply(e *statev1.Entry) any {
	switch kind := e.GetKind().(type) {
	case *statev1.Entry_Command:
		return s.applyCommand(kind.Command)
	case *statev1.Entry_Sync:
		return s.applySync(kind.Sync)
	case *statev1.Entry_RegisterKeeper:
		return s.applyRegisterKeeper(kind.RegisterKeeper)
	case *statev1.Entry_PutRouting:
		return s.Routing.applyRouting(kind.PutRouting)
	case *statev1.Entry_PutTargets:
		for _, t := range kind.PutTargets.GetTargets() {
			s.Routing.putTarget(t, kind.PutTargets.GetAt())
		}
		return nil
	case *statev1.Entry_PutEvacuation:
		return s.Routing.Evacuations.apply(kind.PutEvacuation)
	case *statev1.Entry_LeaseSync:
		return s.Routing.applyLeaseSync(kind.LeaseSync)
	case *statev1.Entry_ReclaimLease:
		s.Routing.applyReclaim(kind.ReclaimLease)
		return nil
	case *statev1.Entry_ReportCalls:
		return s.Quarantine.Apply(kind.ReportCalls)
	default:
		return errors.Errorf("an entry of an unknown kind: the box runs an older version, upgrade it")
	}
}

// change applies a change of the configuration as the next revision.
func (s *State) change(c *statev1.Change) {
	s.Revision++
	c.Revision = s.Revision
	s.ApplyChange(c)
	s.Changes = append(s.Changes, c)
	if len(s.Changes) > 2*MaxChanges {
		s.Changes = append([]*statev1.Change(nil), s.Changes[len(s.Changes)-MaxChanges:]...)
	}
}

// ApplyChange stores the row of a change and sets the revision. Boxes that follow the
// configuration apply changes to their copy with it.
func (s *State) ApplyChange(c *statev1.Change) {
	switch row := c.GetRow().(type) {
	case *statev1.Change_Organisation:
		s.Organisations[row.Organisation.GetName()] = row.Organisation
	case *statev1.Change_Group:
		s.Groups[row.Group.GetName()] = row.Group
	case *statev1.Change_Key:
		putOrRemove(s.Keys, row.Key.GetDigest(), row.Key, row.Key.GetRemoved())
	case *statev1.Change_Drain:
		putOrRemove(s.Drains, DrainKey(row.Drain.GetKind(), row.Drain.GetName()), row.Drain, row.Drain.GetEnded())
	case *statev1.Change_Rollout:
		s.Rollouts[row.Rollout.GetName()] = row.Rollout
	case *statev1.Change_Keeper:
		s.Keepers[row.Keeper.GetBox()] = row.Keeper
	}
	s.Revision = c.GetRevision()
}

func putOrRemove[R any](table map[string]R, key string, row R, removed bool) {
	if removed {
		delete(table, key)
		return
	}
	table[key] = row
}

// DrainKey returns the key of a drain in State.Drains.
func DrainKey(kind statev1.Drain_Kind, name string) string {
	return kind.String() + "/" + name
}

// ChangesAfter returns the changes after a revision, and false if some of them are
// no longer held.
func (s *State) ChangesAfter(revision uint64) ([]*statev1.Change, bool) {
	if revision >= s.Revision {
		return nil, true
	}
	if len(s.Changes) == 0 || s.Changes[0].GetRevision() > revision+1 {
		return nil, false
	}
	first := sort.Search(len(s.Changes), func(i int) bool { return s.Changes[i].GetRevision() > revision })
	return s.Changes[first:], true
}

// Configuration returns all rows of the configuration, in the order of their keys.
func (s *State) Configuration() *statev1.Configuration { return s.captureConfiguration()() }

// captureConfiguration captures all rows of the configuration and returns a function
// that sorts them.
func (s *State) captureConfiguration() func() *statev1.Configuration {
	revision := s.Revision
	organisations, groups, keys := sortedLater(s.Organisations), sortedLater(s.Groups), sortedLater(s.Keys)
	drains, rollouts, keepers := sortedLater(s.Drains), sortedLater(s.Rollouts), sortedLater(s.Keepers)
	return func() *statev1.Configuration {
		return &statev1.Configuration{
			Revision:      revision,
			Organisations: organisations(),
			Groups:        groups(),
			Keys:          keys(),
			Drains:        drains(),
			Rollouts:      rollouts(),
			Keepers:       keepers(),
		}
	}
}

// sortedLater captures a table's rows and returns a function that sorts them by key.
// Sorting takes longer than capturing and can run while the table changes.
func sortedLater[R any](table map[string]R) func() []R {
	return sortedLaterBy(table, func(row R) R { return row })
}

// sortedLaterBy is like sortedLater for rows that are modified in place; capture
// returns an immutable copy of a row.
func sortedLaterBy[R, Q any](table map[string]R, capture func(row R) Q) func() []Q {
	type pair struct {
		key string
		row Q
	}
	pairs := make([]pair, 0, len(table))
	for key, row := range table {
		pairs = append(pairs, pair{key: key, row: capture(row)})
	}
	return func() []Q {
		sort.Slice(pairs, func(i, j int) bool { return pairs[i].key < pairs[j].key })
		rows := make([]Q, 0, len(pairs))
		for _, p := range pairs {
			rows = append(rows, p.row)
		}
		return rows
	}
}

// SortedByKey returns a table's rows in the order of their keys.
func SortedByKey[R any](table map[string]R) []R { return sortedLater(table)() }

// LoadConfiguration replaces the configuration and its revision. All other state is
// kept, except that Changes is emptied.
func (s *State) LoadConfiguration(c *statev1.Configuration) {
	fresh := New()
	for _, r := range c.GetOrganisations() {
		fresh.Organisations[r.GetName()] = r
	}
	for _, r := range c.GetGroups() {
		fresh.Groups[r.GetName()] = r
	}
	for _, r := range c.GetKeys() {
		fresh.Keys[r.GetDigest()] = r
	}
	for _, r := range c.GetDrains() {
		fresh.Drains[DrainKey(r.GetKind(), r.GetName())] = r
	}
	for _, r := range c.GetRollouts() {
		fresh.Rollouts[r.GetName()] = r
	}
	for _, r := range c.GetKeepers() {
		fresh.Keepers[r.GetBox()] = r
	}
	fresh.Budgets, fresh.Usages, fresh.Results, fresh.Untold = s.Budgets, s.Usages, s.Results, s.Untold
	fresh.Orders, fresh.LastToken = s.Orders, s.LastToken
	fresh.Routing, fresh.Quarantine = s.Routing, s.Quarantine
	fresh.Revision = c.GetRevision()
	*s = *fresh
}

// Encode returns a snapshot of the state.
func (s *State) Encode() ([]byte, error) { return s.Capture()() }

// Capture captures the state and returns a function that encodes it as a snapshot.
// Rows in the tables are replaced and never modified, so the captured rows can be
// encoded while entries are applied.
func (s *State) Capture() func() ([]byte, error) {
	configuration := s.captureConfiguration()
	budgets := sortedLaterBy(s.Budgets, (*Budget).row)
	usages := sortedLaterBy(s.Usages, slices.Clone[[]*statev1.GroupUsage])
	results := sortedLaterBy(s.Results, slices.Clone[[]*statev1.CommandResult])
	snapshot := &statev1.Snapshot{Version: Version, LastToken: s.LastToken, Orders: SortedByKey(s.Orders), Untold: s.untoldRows()}
	snapshot.Changes = slices.Clone(s.Changes[max(0, len(s.Changes)-MaxChanges):])
	s.Routing.snapshot(snapshot)
	s.Quarantine.Snapshot(snapshot)
	return func() ([]byte, error) {
		snapshot.Configuration = configuration()
		snapshot.Budgets = budgets()
		snapshot.Usages = slices.Concat(usages()...)
		snapshot.Results = slices.Concat(results()...)
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
		return data, errors.WithStack(err)
	}
}

// Decode returns the state of a snapshot written by Encode.
func Decode(data []byte) (*State, error) {
	var snapshot statev1.Snapshot
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return nil, errors.WithStack(err)
	}
	if snapshot.GetVersion() > Version {
		return nil, errors.Errorf("snapshot version %d is newer than the supported version %d: upgrade this program", snapshot.GetVersion(), Version)
	}
	s := New()
	s.LoadConfiguration(snapshot.GetConfiguration())
	for _, row := range snapshot.GetBudgets() {
		s.Budgets[row.GetName()] = budgetFromRow(row)
	}
	for _, u := range snapshot.GetUsages() {
		s.Usages[u.GetGroup()] = append(s.Usages[u.GetGroup()], u)
	}
	for _, r := range snapshot.GetResults() {
		s.Results[r.GetOperator()] = append(s.Results[r.GetOperator()], r)
	}
	s.Changes = snapshot.GetChanges()
	s.LastToken = snapshot.GetLastToken()
	for _, o := range snapshot.GetOrders() {
		s.Orders[OrderKey(o)] = o
	}
	for _, row := range snapshot.GetUntold() {
		for _, budget := range row.GetBudgets() {
			s.markUntold(row.GetHolder(), budget)
		}
	}
	s.Routing = routingFromSnapshot(&snapshot)
	s.Quarantine = quarantine.Load(&snapshot)
	return s, nil
}

func (s *State) untoldRows() []*statev1.Untold {
	var rows []*statev1.Untold
	for holder, budgets := range s.Untold {
		row := &statev1.Untold{Holder: holder}
		for budget := range budgets {
			row.Budgets = append(row.Budgets, budget)
		}
		sort.Strings(row.Budgets)
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].GetHolder() < rows[j].GetHolder() })
	return rows
}
