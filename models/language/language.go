// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package language parses the operators' query and command language. The grammar is
// defined by the struct tags below and described in docs/API.md.
package language

import (
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/pkg/errors"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/modules/digest"
)

// MaxLength is the maximum length of a command or query in bytes.
const MaxLength = 16 << 10

var lexerRules = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Number", Pattern: `[0-9]+\b`},
	{Name: "Word", Pattern: `[A-Za-z0-9][A-Za-z0-9._/:@-]*`},
	{Name: "Comma", Pattern: `,`},
	{Name: "Equals", Pattern: `=`},
	{Name: "space", Pattern: `\s+`},
})

// commandTree is the grammar of commands.
type commandTree struct {
	Create  *createTree  `parser:"  'create' @@"`
	Set     *setTree     `parser:"| 'set' @@"`
	Grant   *amountTree  `parser:"| 'grant' @@"`
	Reduce  *amountTree  `parser:"| 'reduce' @@"`
	Add     *keyTree     `parser:"| 'add' @@"`
	Remove  *keyTree     `parser:"| 'remove' @@"`
	Drain   *drainTree   `parser:"| 'drain' @@"`
	Undrain *drainTree   `parser:"| 'undrain' @@"`
	Rollout *rolloutTree `parser:"| 'rollout' @@"`
	Order   *orderTree   `parser:"| 'order' @@"`
}

type createTree struct {
	Organisation *shareTree  `parser:"  'organisation' @@"`
	Budget       *budgetTree `parser:"| 'budget' @@"`
	Group        *groupTree  `parser:"| 'group' @@"`
}

type setTree struct {
	Organisation *shareTree `parser:"  'organisation' @@"`
	Group        *groupTree `parser:"| 'group' @@"`
}

type shareTree struct {
	Name  string `parser:"@(Word | Number)"`
	Share uint32 `parser:"'share' @Number"`
}

type budgetTree struct {
	Name   string `parser:"@Word"`
	Tokens uint64 `parser:"'tokens' @Number"`
}

type groupTree struct {
	Name     string   `parser:"@Word"`
	Budget   string   `parser:"'budget' @Word"`
	Models   []string `parser:"( 'models' @(Word | Number) ( ',' @(Word | Number) )*"`
	Services []string `parser:"| 'services' @Word ( ',' @Word )*"`
	Priority string   `parser:"| 'priority' @( 'batch' | 'interactive' )"`
	Tokens   uint32   `parser:"| 'default-tokens' @Number )*"`
}

type amountTree struct {
	Tokens uint64 `parser:"@Number 'tokens'?"`
	Budget string `parser:"( 'to' | 'from' ) @Word"`
}

type keyTree struct {
	Digest string `parser:"'key' @(Word | Number)"`
	Group  string `parser:"( 'to' | 'from' ) @Word"`
}

type drainTree struct {
	Kind string `parser:"@( 'box' | 'target' | 'data-centre' )"`
	Name string `parser:"@(Word | Number)"`
}

type orderTree struct {
	Target string `parser:"@(Word | Number)"`
	Kind   string `parser:"@( 'load' | 'role' )"`
	Value  string `parser:"@(Word | Number)"`
}

type rolloutTree struct {
	Name  string `parser:"@Word"`
	Value string `parser:"'='? @( Word | Number )"`
}

// Query is a parsed query.
type Query struct {
	Subject string   `parser:"'show' @( 'organisations' | 'groups' | 'budgets' | 'allotments' | 'keepers' | 'drains' | 'rollouts' | 'revision' | 'commands' | 'keys' | 'orders' | 'targets' | 'software' )"`
	Filters []Filter `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Order   string   `parser:"( 'by' @Word )?"`
	Limit   int      `parser:"( 'limit' @Number )?"`
}

// Filter selects the rows whose column has the given value.
type Filter struct {
	Column string `parser:"@Word '='"`
	Value  string `parser:"@( Word | Number )"`
}

var (
	commandParser = participle.MustBuild[commandTree](participle.Lexer(lexerRules), participle.UseLookahead(2))
	queryParser   = participle.MustBuild[Query](participle.Lexer(lexerRules))
)

// ErrSyntax reports text that does not follow the grammar. Column is the position in
// the text, counted from 1, or 0 if it is unknown.
type ErrSyntax struct {
	Column  int
	Message string
}

func (e ErrSyntax) Error() string {
	return fmt.Sprintf("at character %d: %s; see havenwinch help for the language", e.Column, e.Message)
}

// IsErrSyntax reports whether the cause of an error is an ErrSyntax.
func IsErrSyntax(err error) bool {
	_, ok := errors.Cause(err).(ErrSyntax)
	return ok
}

// ParseQuery parses a query. Its error is an ErrSyntax.
func ParseQuery(text string) (*Query, error) {
	if err := checkLength(text); err != nil {
		return nil, err
	}
	q, err := queryParser.ParseString("", text)
	return q, syntaxError(err)
}

// ParseCommand parses a command of an operator. number identifies the command among
// those of the operator; expect is the revision that the configuration must have, or
// zero for any. Its error is an ErrSyntax.
func ParseCommand(operator string, number, expect uint64, text string) (*statev1.Command, error) {
	if err := checkLength(text); err != nil {
		return nil, err
	}
	tree, err := commandParser.ParseString("", text)
	if err != nil {
		return nil, syntaxError(err)
	}
	c := &statev1.Command{Operator: operator, Number: number, ExpectRevision: expect}
	// The digest ignores differences in white space.
	c.Digest = digest.Of([]byte(strings.Join(strings.Fields(text), " ")), fmt.Appendf(nil, "%d", expect))
	tree.fill(c)
	return c, nil
}

func checkLength(text string) error {
	if len(text) > MaxLength {
		return errors.WithStack(ErrSyntax{Column: MaxLength, Message: fmt.Sprintf("the text is longer than %d bytes", MaxLength)})
	}
	return nil
}

func syntaxError(err error) error {
	if err == nil {
		return nil
	}
	var failure participle.Error
	if errors.As(err, &failure) {
		return errors.WithStack(ErrSyntax{Column: failure.Position().Column, Message: failure.Message()})
	}
	return errors.WithStack(ErrSyntax{Message: err.Error()})
}

func (t *commandTree) fill(c *statev1.Command) {
	switch {
	case t.Create != nil:
		t.Create.fill(c)
	case t.Set != nil:
		t.Set.fill(c)
	case t.Grant != nil:
		c.Action = &statev1.Command_GrantBudget{GrantBudget: &statev1.GrantBudget{Name: t.Grant.Budget, Tokens: t.Grant.Tokens}}
	case t.Reduce != nil:
		c.Action = &statev1.Command_ReduceBudget{ReduceBudget: &statev1.ReduceBudget{Name: t.Reduce.Budget, Tokens: t.Reduce.Tokens}}
	case t.Add != nil:
		c.Action = t.Add.action(false)
	case t.Remove != nil:
		c.Action = t.Remove.action(true)
	case t.Drain != nil:
		c.Action = t.Drain.action(false)
	case t.Undrain != nil:
		c.Action = t.Undrain.action(true)
	case t.Rollout != nil:
		row := &statev1.Rollout{Name: t.Rollout.Name, Value: t.Rollout.Value}
		c.Action = &statev1.Command_PutRollout{PutRollout: &statev1.PutRollout{Rollout: row}}
	case t.Order != nil:
		c.Action = t.Order.action()
	}
}

func (t *createTree) fill(c *statev1.Command) {
	switch {
	case t.Organisation != nil:
		a := &statev1.CreateOrganisation{Name: t.Organisation.Name, Share: t.Organisation.Share}
		c.Action = &statev1.Command_CreateOrganisation{CreateOrganisation: a}
	case t.Budget != nil:
		a := &statev1.CreateBudget{Name: t.Budget.Name, Tokens: t.Budget.Tokens}
		c.Action = &statev1.Command_CreateBudget{CreateBudget: a}
	case t.Group != nil:
		c.Action = t.Group.action(true)
	}
}

func (t *setTree) fill(c *statev1.Command) {
	if t.Organisation != nil {
		a := &statev1.SetShare{Organisation: t.Organisation.Name, Share: t.Organisation.Share}
		c.Action = &statev1.Command_SetShare{SetShare: a}
		return
	}
	c.Action = t.Group.action(false)
}

// defaultTokens is the default limit of generated tokens of a group.
const defaultTokens = 1024

func (t *groupTree) action(create bool) *statev1.Command_PutGroup {
	g := &statev1.Group{
		Name:          t.Name,
		Budget:        t.Budget,
		Models:        t.Models,
		Services:      t.Services,
		Priority:      statev1.Priority_PRIORITY_INTERACTIVE,
		DefaultTokens: t.Tokens,
	}
	if t.Priority == "batch" {
		g.Priority = statev1.Priority_PRIORITY_BATCH
	}
	if g.DefaultTokens == 0 {
		g.DefaultTokens = defaultTokens
	}
	return &statev1.Command_PutGroup{PutGroup: &statev1.PutGroup{Group: g, Create: create}}
}

func (t *keyTree) action(removed bool) *statev1.Command_PutKey {
	key := &statev1.AccessKey{Digest: strings.ToLower(t.Digest), Group: t.Group, Removed: removed}
	return &statev1.Command_PutKey{PutKey: &statev1.PutKey{Key: key}}
}

func (t *orderTree) action() *statev1.Command_PutOrder {
	o := &statev1.Order{Target: t.Target, Kind: statev1.Order_KIND_LOAD, Value: t.Value}
	if t.Kind == "role" {
		o.Kind = statev1.Order_KIND_ROLE
	}
	return &statev1.Command_PutOrder{PutOrder: &statev1.PutOrder{Order: o}}
}

// drainKinds has the kinds of drains by their names in the language.
var drainKinds = map[string]statev1.Drain_Kind{
	"box":         statev1.Drain_KIND_BOX,
	"target":      statev1.Drain_KIND_TARGET,
	"data-centre": statev1.Drain_KIND_DATA_CENTRE,
}

// DrainKindName returns the name of a kind of drains in the language.
func DrainKindName(k statev1.Drain_Kind) string {
	for name, kind := range drainKinds {
		if kind == k {
			return name
		}
	}
	return k.String()
}

func (t *drainTree) action(ended bool) *statev1.Command_PutDrain {
	d := &statev1.Drain{Kind: drainKinds[t.Kind], Name: t.Name, Ended: ended}
	return &statev1.Command_PutDrain{PutDrain: &statev1.PutDrain{Drain: d}}
}
