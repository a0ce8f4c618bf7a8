// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/language"
	"havenwinch.dev/havenwinch/models/state"
)

// digestPrefixLen is how many digits of an access key's digest a query returns.
const digestPrefixLen = 12

// ErrUnknownColumn is returned for a query with a column that its table does not
// have.
type ErrUnknownColumn struct {
	Column  string
	Columns []string
}

func (e ErrUnknownColumn) Error() string {
	return "there is no column " + e.Column + ": use one of " + strings.Join(e.Columns, ", ")
}

// table is the intermediate result of a query.
type table struct {
	columns []string
	rows    [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

func number(n uint64) string { return strconv.FormatUint(n, 10) }

// Query evaluates a query on the state, which includes all entries that were
// committed before the call.
func (s *Service) Query(text string) (*betweenv1.QueryResponse, error) {
	q, err := language.ParseQuery(text)
	if err != nil {
		return nil, err
	}
	if err := s.opts.Log.ReadBarrier(); err != nil {
		return nil, err
	}
	var t *table
	resp := &betweenv1.QueryResponse{}
	s.opts.Machine.Read(func(st *state.State) {
		t = tables[q.Subject](st)
		resp.Revision = st.Revision
	})
	if err := t.apply(q); err != nil {
		return nil, err
	}
	resp.Columns = t.columns
	for _, row := range t.rows {
		resp.Rows = append(resp.Rows, &betweenv1.QueryRow{Cells: row})
	}
	return resp, nil
}

// tables has the function that builds the table of each subject of the query
// language.
var tables = map[string]func(st *state.State) *table{
	"organisations": organisations,
	"groups":        groups,
	"budgets":       budgets,
	"allotments":    allotments,
	"keepers":       keepers,
	"drains":        drains,
	"rollouts":      rollouts,
	"revision":      revision,
	"commands":      commands,
	"keys":          keys,
	"orders":        orders,
	"targets":       targets,
	"software":      softwareVersions,
}

func organisations(st *state.State) *table {
	type sums struct{ granted, spent uint64 }
	byName := map[string]sums{}
	for _, b := range st.Budgets {
		name := state.OrganisationOf(b.Name)
		sum := byName[name]
		sum.granted += b.Granted
		sum.spent += b.Spent()
		byName[name] = sum
	}
	t := &table{columns: []string{"organisation", "share", "granted", "spent"}}
	for _, o := range state.SortedByKey(st.Organisations) {
		sum := byName[o.GetName()]
		t.add(o.GetName(), number(uint64(o.GetShare())), number(sum.granted), number(sum.spent))
	}
	return t
}

func groups(st *state.State) *table {
	usage := map[string]*statev1.GroupUsage{}
	for group, rows := range st.Usages {
		sum := &statev1.GroupUsage{}
		for _, u := range rows {
			sum.Spent += u.GetSpent()
			sum.WrittenOff += u.GetWrittenOff()
			sum.Reserved += u.GetReserved()
			sum.Waiting += u.GetWaiting()
			sum.Requests += u.GetRequests()
		}
		usage[group] = sum
	}
	t := &table{columns: []string{"group", "organisation", "budget", "models", "services", "priority", "requests", "billed", "written_off", "reserved", "waiting"}}
	for _, g := range state.SortedByKey(st.Groups) {
		u := usage[g.GetName()]
		t.add(g.GetName(), state.OrganisationOf(g.GetName()), g.GetBudget(), strings.Join(g.GetModels(), ","), strings.Join(g.GetServices(), ","),
			PriorityName(g.GetPriority()), number(u.GetRequests()), number(u.GetSpent()-u.GetWrittenOff()), number(u.GetWrittenOff()), number(u.GetReserved()), number(u.GetWaiting()))
	}
	return t
}

// PriorityName returns "interactive" for that priority and "batch" for all others.
func PriorityName(p statev1.Priority) string {
	if p == statev1.Priority_PRIORITY_INTERACTIVE {
		return "interactive"
	}
	return "batch"
}

func budgets(st *state.State) *table {
	t := &table{columns: []string{"budget", "granted", "spent", "reserved", "free", "unallotted", "lost"}}
	for _, b := range state.SortedByKey(st.Budgets) {
		spent, reserved := b.Spent(), uint64(0)
		for _, a := range b.Allotments {
			reserved += a.GetReserved()
		}
		away := unrecoverable(st, b)
		lost := away - min(away, spent)
		remaining := b.Granted - spent
		t.add(b.Name, number(b.Granted), number(spent), number(reserved), number(remaining-min(remaining, reserved+lost)), number(b.Unallotted()), number(lost))
	}
	return t
}

func allotments(st *state.State) *table {
	t := &table{columns: []string{"budget", "holder", "allotted", "returned", "spent", "reserved", "rate"}}
	for _, b := range state.SortedByKey(st.Budgets) {
		for _, a := range b.Allotments {
			t.add(b.Name, a.GetHolder(), number(a.GetAllotted()), number(a.GetReturned()), number(a.GetSpent()), number(a.GetReserved()), number(a.GetRate()))
		}
	}
	return t
}

func keepers(st *state.State) *table {
	t := &table{columns: []string{"box", "data_centre", "address", "holder", "lost"}}
	for _, k := range state.SortedByKey(st.Keepers) {
		t.add(k.GetBox(), k.GetDataCentre(), k.GetAddress(), k.GetHolder(), strings.Join(k.GetLost(), ","))
	}
	return t
}

func drains(st *state.State) *table {
	t := &table{columns: []string{"kind", "name"}}
	for _, d := range state.SortedByKey(st.Drains) {
		t.add(language.DrainKindName(d.GetKind()), d.GetName())
	}
	return t
}

func rollouts(st *state.State) *table {
	t := &table{columns: []string{"name", "value", "meaning"}}
	names := make([]string, 0, len(state.RolloutRanges))
	for name := range state.RolloutRanges {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		t.add(name, strconv.FormatInt(st.RolloutValue(name), 10), state.RolloutRanges[name].Meaning)
	}
	return t
}

func revision(st *state.State) *table {
	return &table{columns: []string{"revision"}, rows: [][]string{{number(st.Revision)}}}
}

func commands(st *state.State) *table {
	t := &table{columns: []string{"operator", "number", "outcome", "message", "revision"}}
	for _, results := range state.SortedByKey(st.Results) {
		for _, r := range results {
			outcome := r.GetRefusal()
			if outcome == "" {
				outcome = "accepted"
			}
			t.add(r.GetOperator(), number(r.GetNumber()), outcome, r.GetMessage(), number(r.GetRevision()))
		}
	}
	return t
}

func orders(st *state.State) *table {
	t := &table{columns: []string{"target", "kind", "value", "token"}}
	for _, o := range state.SortedByKey(st.Orders) {
		kind := "load"
		if o.GetKind() == statev1.Order_KIND_ROLE {
			kind = "role"
		}
		t.add(o.GetTarget(), kind, o.GetValue(), number(o.GetToken()))
	}
	return t
}

func targets(st *state.State) *table {
	t := &table{columns: []string{"target", "service", "version", "born", "state", "data_centre", "address"}}
	for _, row := range state.SortedByKey(st.Routing.Targets) {
		t.add(row.GetId(), row.GetService(), row.GetVersion(), strconv.FormatInt(row.GetBorn(), 10), targetStateName(row.GetState()), row.GetDataCentre(), row.GetAddress())
	}
	return t
}

// targetStateName returns the name of a target's state in tables.
func targetStateName(s statev1.RegisteredTarget_State) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "STATE_"))
}

// softwareVersions lists the versions of each service that its targets run, or ran until a short time
// ago, with the time of the last end in milliseconds of Unix time; empty if none has ended.
func softwareVersions(st *state.State) *table {
	type key struct{ service, version string }
	type counts struct{ ready, draining uint64 }
	found, ends := map[key]counts{}, map[key]string{}
	for _, row := range st.Routing.Targets {
		k := key{row.GetService(), row.GetVersion()}
		n := found[k]
		switch row.GetState() {
		case statev1.RegisteredTarget_STATE_READY:
			n.ready++
		case statev1.RegisteredTarget_STATE_DRAINING:
			n.draining++
		default:
			continue
		}
		found[k] = n
	}
	for _, end := range st.Routing.SoftwareEnds.Rows() {
		k := key{end.GetService(), end.GetVersion()}
		ends[k] = strconv.FormatInt(end.GetAt(), 10)
		if _, runs := found[k]; !runs {
			found[k] = counts{}
		}
	}
	t := &table{columns: []string{"service", "version", "ready", "draining", "last_end"}}
	for k, n := range found {
		t.add(k.service, k.version, number(n.ready), number(n.draining), ends[k])
	}
	slices.SortFunc(t.rows, slices.Compare)
	return t
}

func keys(st *state.State) *table {
	t := &table{columns: []string{"group", "digest"}}
	for _, k := range state.SortedByKey(st.Keys) {
		t.add(k.GetGroup(), k.GetDigest()[:digestPrefixLen])
	}
	return t
}

// apply applies the filters, the order and the limit of a query to the table.
func (t *table) apply(q *language.Query) error {
	for _, f := range q.Filters {
		at, err := t.column(f.Column)
		if err != nil {
			return err
		}
		var kept [][]string
		for _, row := range t.rows {
			if row[at] == f.Value {
				kept = append(kept, row)
			}
		}
		t.rows = kept
	}
	if q.Order != "" {
		at, err := t.column(q.Order)
		if err != nil {
			return err
		}
		sort.SliceStable(t.rows, func(i, j int) bool { return sortsBefore(t.rows[i][at], t.rows[j][at]) })
	}
	if q.Limit > 0 && q.Limit < len(t.rows) {
		t.rows = t.rows[:q.Limit]
	}
	return nil
}

func (t *table) column(name string) (int, error) {
	for i, c := range t.columns {
		if c == name {
			return i, nil
		}
	}
	return 0, errors.WithStack(ErrUnknownColumn{Column: name, Columns: t.columns})
}

// sortsBefore reports whether cell a sorts before cell b: numbers in descending order,
// all other cells in ascending order.
func sortsBefore(a, b string) bool {
	x, errX := strconv.ParseUint(a, 10, 64)
	y, errY := strconv.ParseUint(b, 10, 64)
	if errX == nil && errY == nil {
		return x > y
	}
	return a < b
}
