// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"fmt"
	"regexp"
	"strings"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/modules/digest"
)

// Refusal is the reason code of a refused command, as returned to the operator.
type Refusal string

// Reason codes of refused commands.
const (
	RefusalNumberTaken   Refusal = "number_taken"
	RefusalNumberTooOld  Refusal = "number_too_old"
	RefusalWrongRevision Refusal = "wrong_revision"
	RefusalExists        Refusal = "exists"
	RefusalNotFound      Refusal = "not_found"
	RefusalInvalid       Refusal = "invalid"
	RefusalOverflow      Refusal = "overflow"
	RefusalAllotted      Refusal = "allotted"
)

var (
	simpleName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	pathName   = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}/[a-z0-9][a-z0-9._-]{0,62}$`)
)

// refused is the refusal of a command, which then changes nothing.
type refused struct {
	kind    Refusal
	message string
}

func refuse(kind Refusal, format string, args ...any) *refused {
	return &refused{kind: kind, message: fmt.Sprintf(format, args...)}
}

// applyCommand executes a new command, and returns the stored result of a command
// that was sent again.
func (s *State) applyCommand(c *statev1.Command) *statev1.CommandResult {
	result := &statev1.CommandResult{Operator: c.GetOperator(), Number: c.GetNumber(), Digest: c.GetDigest()}
	known, refusal := s.knownResult(c)
	if known != nil {
		return known
	}
	if refusal != nil {
		return s.completeResult(result, "", refusal)
	}
	if c.GetExpectRevision() != 0 && c.GetExpectRevision() != s.Revision {
		refusal = refuse(RefusalWrongRevision, "the configuration is at revision %d, not %d: read it again and decide anew", s.Revision, c.GetExpectRevision())
		return s.storeResult(s.completeResult(result, "", refusal))
	}
	message, refusal := s.execute(c)
	return s.storeResult(s.completeResult(result, message, refusal))
}

// knownResult returns the stored result of a command that was sent again, or the
// refusal of a command whose number was used for another one or is too old. Both
// are nil for a new command.
func (s *State) knownResult(c *statev1.Command) (*statev1.CommandResult, *refused) {
	results := s.Results[c.GetOperator()]
	for _, r := range results {
		if r.GetNumber() != c.GetNumber() {
			continue
		}
		if digest.Equal(r.GetDigest(), c.GetDigest()) {
			return r, nil
		}
		return nil, refuse(RefusalNumberTaken, "operator %s has used number %d for another command: take a new number", c.GetOperator(), c.GetNumber())
	}
	if len(results) >= MaxResults && c.GetNumber() < results[0].GetNumber() {
		return nil, refuse(RefusalNumberTooOld, "number %d is older than all kept answers: look at the state and take a new number", c.GetNumber())
	}
	return nil, nil
}

func (s *State) completeResult(r *statev1.CommandResult, message string, refusal *refused) *statev1.CommandResult {
	r.Message = message
	if refusal != nil {
		r.Refusal, r.Message = string(refusal.kind), refusal.message
	}
	r.Revision = s.Revision
	return r
}

// storeResult inserts a result in the order of numbers and drops the lowest number
// beyond MaxResults, so that a number below all stored ones is recognised as too
// old.
func (s *State) storeResult(r *statev1.CommandResult) *statev1.CommandResult {
	results := s.Results[r.GetOperator()]
	at := len(results)
	for at > 0 && results[at-1].GetNumber() > r.GetNumber() {
		at--
	}
	results = append(results, nil)
	copy(results[at+1:], results[at:])
	results[at] = r
	if len(results) > MaxResults {
		results = results[1:]
	}
	s.Results[r.GetOperator()] = results
	return r
}

func (s *State) execute(c *statev1.Command) (string, *refused) {
	switch a := c.GetAction().(type) {
	case *statev1.Command_CreateOrganisation:
		return s.createOrganisation(a.CreateOrganisation)
	case *statev1.Command_SetShare:
		return s.setShare(a.SetShare)
	case *statev1.Command_CreateBudget:
		return s.createBudget(a.CreateBudget)
	case *statev1.Command_GrantBudget:
		return s.grantBudget(a.GrantBudget)
	case *statev1.Command_ReduceBudget:
		return s.reduceBudget(a.ReduceBudget)
	case *statev1.Command_PutGroup:
		return s.putGroup(a.PutGroup)
	case *statev1.Command_PutKey:
		return s.putKey(a.PutKey.GetKey())
	case *statev1.Command_PutDrain:
		return s.putDrain(a.PutDrain.GetDrain())
	case *statev1.Command_PutRollout:
		return s.putRollout(a.PutRollout.GetRollout())
	case *statev1.Command_PutOrder:
		return s.putOrder(a.PutOrder.GetOrder())
	default:
		return "", refuse(RefusalInvalid, "the command holds no action")
	}
}

func (s *State) createOrganisation(a *statev1.CreateOrganisation) (string, *refused) {
	if !simpleName.MatchString(a.GetName()) {
		return "", invalidName("organisation", a.GetName(), "lower-case letters, digits, dots and dashes")
	}
	if s.Organisations[a.GetName()] != nil {
		return "", refuse(RefusalExists, "organisation %s exists: use set share to change it", a.GetName())
	}
	if a.GetShare() == 0 {
		return "", refuse(RefusalInvalid, "share must be at least 1")
	}
	s.putOrganisation(a.GetName(), a.GetShare())
	return "organisation " + a.GetName() + " created", nil
}

func (s *State) putOrganisation(name string, share uint32) {
	row := &statev1.Organisation{Name: name, Share: share}
	s.change(&statev1.Change{Row: &statev1.Change_Organisation{Organisation: row}})
}

func (s *State) setShare(a *statev1.SetShare) (string, *refused) {
	if s.Organisations[a.GetOrganisation()] == nil {
		return "", notFound("organisation", a.GetOrganisation())
	}
	if a.GetShare() == 0 {
		return "", refuse(RefusalInvalid, "share must be at least 1")
	}
	s.putOrganisation(a.GetOrganisation(), a.GetShare())
	return fmt.Sprintf("organisation %s has share %d", a.GetOrganisation(), a.GetShare()), nil
}

func (s *State) createBudget(a *statev1.CreateBudget) (string, *refused) {
	if refusal := s.checkPath("budget", a.GetName()); refusal != nil {
		return "", refusal
	}
	if s.Budgets[a.GetName()] != nil {
		return "", refuse(RefusalExists, "budget %s exists: use grant to add to it", a.GetName())
	}
	if a.GetTokens() > MaxTokens {
		return "", aboveLimit(a.GetTokens())
	}
	s.Budgets[a.GetName()] = newBudget(a.GetName(), a.GetTokens())
	return fmt.Sprintf("budget %s created with %d tokens", a.GetName(), a.GetTokens()), nil
}

func (s *State) grantBudget(a *statev1.GrantBudget) (string, *refused) {
	b := s.Budgets[a.GetName()]
	if b == nil {
		return "", notFound("budget", a.GetName())
	}
	if a.GetTokens() > MaxTokens || b.Granted+a.GetTokens() > MaxTokens {
		return "", aboveLimit(a.GetTokens())
	}
	b.Granted += a.GetTokens()
	return fmt.Sprintf("budget %s has %d tokens granted", b.Name, b.Granted), nil
}

func (s *State) reduceBudget(a *statev1.ReduceBudget) (string, *refused) {
	b := s.Budgets[a.GetName()]
	if b == nil {
		return "", notFound("budget", a.GetName())
	}
	if a.GetTokens() > b.Unallotted() {
		return "", refuse(RefusalAllotted, "only %d tokens of budget %s can be taken back now, the rest is spent or allotted to data centres: reduce by less, or ask again once they have returned it", b.Unallotted(), b.Name)
	}
	b.Granted -= a.GetTokens()
	return fmt.Sprintf("budget %s has %d tokens granted", b.Name, b.Granted), nil
}

func (s *State) putGroup(a *statev1.PutGroup) (string, *refused) {
	g := a.GetGroup()
	if refusal := s.checkPath("group", g.GetName()); refusal != nil {
		return "", refusal
	}
	exists := s.Groups[g.GetName()] != nil
	if a.GetCreate() && exists {
		return "", refuse(RefusalExists, "group %s exists: use set group to change it", g.GetName())
	}
	if !a.GetCreate() && !exists {
		return "", notFound("group", g.GetName())
	}
	if s.Budgets[g.GetBudget()] == nil {
		return "", notFound("budget", g.GetBudget())
	}
	if OrganisationOf(g.GetBudget()) != OrganisationOf(g.GetName()) {
		return "", refuse(RefusalInvalid, "budget %s belongs to another organisation: name one of %s", g.GetBudget(), OrganisationOf(g.GetName()))
	}
	s.change(&statev1.Change{Row: &statev1.Change_Group{Group: g}})
	return "group " + g.GetName() + " is in force", nil
}

func (s *State) putKey(k *statev1.AccessKey) (string, *refused) {
	if s.Groups[k.GetGroup()] == nil {
		return "", notFound("group", k.GetGroup())
	}
	if !digest.Valid(k.GetDigest()) {
		return "", refuse(RefusalInvalid, "digest must be the %d hexadecimal digits of a SHA-256: havenwinch key prints one", digest.Size)
	}
	old := s.Keys[k.GetDigest()]
	if old != nil && old.GetGroup() != k.GetGroup() {
		return "", refuse(RefusalExists, "this key belongs to another group: make a new one with havenwinch key")
	}
	if old == nil && k.GetRemoved() {
		return "", notFound("key", k.GetDigest()[:8])
	}
	s.change(&statev1.Change{Row: &statev1.Change_Key{Key: k}})
	if k.GetRemoved() {
		return "key removed from " + k.GetGroup(), nil
	}
	return "key added to " + k.GetGroup(), nil
}

func (s *State) putDrain(d *statev1.Drain) (string, *refused) {
	if !simpleName.MatchString(d.GetName()) {
		return "", invalidName("box, target or data centre", d.GetName(), "lower-case letters, digits, dots and dashes")
	}
	if d.GetEnded() && s.Drains[DrainKey(d.GetKind(), d.GetName())] == nil {
		return "", notFound("drain of", d.GetName())
	}
	s.change(&statev1.Change{Row: &statev1.Change_Drain{Drain: d}})
	if d.GetEnded() {
		return d.GetName() + " takes new work again", nil
	}
	return d.GetName() + " takes no new work", nil
}

func (s *State) putRollout(r *statev1.Rollout) (string, *refused) {
	if err := ValidateRollout(r); err != nil {
		return "", refuse(RefusalInvalid, "%s", err.Error())
	}
	s.change(&statev1.Change{Row: &statev1.Change_Rollout{Rollout: r}})
	return fmt.Sprintf("%s is %s", r.GetName(), r.GetValue()), nil
}

// OrderKey returns the key of an order in State.Orders.
func OrderKey(o *statev1.Order) string { return o.GetTarget() + "/" + o.GetKind().String() }

// putOrder replaces the previous order of the same kind to the target, under a
// higher fencing token.
func (s *State) putOrder(o *statev1.Order) (string, *refused) {
	if !simpleName.MatchString(o.GetTarget()) {
		return "", invalidName("target", o.GetTarget(), "lower-case letters, digits, dots and dashes")
	}
	s.LastToken++
	row := &statev1.Order{Target: o.GetTarget(), Kind: o.GetKind(), Value: o.GetValue(), Token: s.LastToken}
	s.Orders[OrderKey(row)] = row
	return fmt.Sprintf("order %d for %s is recorded", row.GetToken(), row.GetTarget()), nil
}

func (s *State) checkPath(what, name string) *refused {
	if !pathName.MatchString(name) {
		return invalidName(what, name, "organisation/name in lower-case letters, digits, dots and dashes")
	}
	if s.Organisations[OrganisationOf(name)] == nil {
		return notFound("organisation", OrganisationOf(name))
	}
	return nil
}

// OrganisationOf returns the organisation in the name of a group or budget.
func OrganisationOf(name string) string {
	organisation, _, _ := strings.Cut(name, "/")
	return organisation
}

func invalidName(what, name, form string) *refused {
	return refuse(RefusalInvalid, "%q is no name for a %s: use %s", name, what, form)
}

func notFound(what, name string) *refused {
	return refuse(RefusalNotFound, "there is no %s %s: create it first or check the name", what, name)
}

func aboveLimit(tokens uint64) *refused {
	return refuse(RefusalOverflow, "%d tokens are over the limit of %d for one budget: use a smaller amount", tokens, MaxTokens)
}
