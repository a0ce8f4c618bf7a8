// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"
	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/allot"
	"havenwinch.dev/havenwinch/models/language"
	"havenwinch.dev/havenwinch/models/state"
	"havenwinch.dev/havenwinch/modules/clock"
	"havenwinch.dev/havenwinch/services/timeline"
)

// activeTimeout is the age of a holder's last report up to which it may be granted
// tokens that it did not request.
const activeTimeout = 5 * time.Second

// maxUnrequestedRows bounds the rows of one answer for budgets that the holder did not report.
const maxUnrequestedRows = 2048

// recallTimeout bounds how long a holder with waiting requests waits for other
// holders to return tokens.
const recallTimeout = 250 * time.Millisecond

// Log is the replicated log.
type Log interface {
	// Propose commits an entry and returns the state machine's answer to it.
	Propose(ctx context.Context, data []byte) (any, error)
	// ReadBarrier returns nil once the state reflects everything that was committed
	// before the call, and raft.ErrNotLeader on a box that is not the leader.
	ReadBarrier() error
}

// Recaller sends recalls to keepers.
type Recaller interface {
	Recall(ctx context.Context, address string, r *betweenv1.RecallRequest) (*betweenv1.RecallResponse, error)
}

type Options struct {
	Log      Log
	Machine  *Machine
	Keepers  Recaller
	Policy   allot.Policy
	Clock    clock.Clock
	Recorder *timeline.Recorder
	Logger   *slog.Logger
}

// Service handles the calls of operators and keepers on a control box.
type Service struct {
	opts    Options
	recalls recallTracker

	mu sync.Mutex
	// lastReports maps each holder to the boot time of its last report, except for
	// holders that are leaving.
	lastReports map[string]time.Duration
}

func New(opts Options) *Service {
	return &Service{opts: opts, recalls: recallTracker{inFlight: map[string]bool{}}, lastReports: map[string]time.Duration{}}
}

func (s *Service) propose(ctx context.Context, e *statev1.Entry) (any, error) {
	return propose(ctx, s.opts.Log, e)
}

// propose commits an entry and returns the state machine's answer to it.
func propose(ctx context.Context, log Log, e *statev1.Entry) (any, error) {
	data, err := proto.Marshal(e)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return log.Propose(ctx, data)
}

// Command parses an operator's command and commits it. A command that the state
// refuses is a result, not an error.
func (s *Service) Command(ctx context.Context, r *betweenv1.CommandRequest) (*statev1.CommandResult, error) {
	c, err := language.ParseCommand(r.GetOperator(), r.GetNumber(), r.GetExpectRevision(), r.GetText())
	if err != nil {
		return nil, err
	}
	answer, err := s.propose(ctx, &statev1.Entry{Kind: &statev1.Entry_Command{Command: c}})
	if err != nil {
		return nil, err
	}
	result, ok := answer.(*statev1.CommandResult)
	if !ok {
		return nil, errors.Errorf("the state answered a command with %T: all control boxes must run one version", answer)
	}
	outcome := result.GetRefusal()
	if outcome == "" {
		outcome = "accepted"
	}
	s.opts.Recorder.Record("command", "", fmt.Sprintf("%s #%d %s at revision %d", r.GetOperator(), r.GetNumber(), outcome, result.GetRevision()))
	return result, nil
}

// Quarantine returns the service's handler of reports of calls during which
// targets failed.
func (s *Service) Quarantine() *Quarantine {
	return &Quarantine{Log: s.opts.Log, Machine: s.opts.Machine, Clock: s.opts.Clock, Logger: s.opts.Logger}
}

// Register commits the registration of a keeper's ledger.
func (s *Service) Register(ctx context.Context, r *statev1.RegisterKeeper) (*betweenv1.RegisterResponse, error) {
	r.Time = s.opts.Clock.Wall().UnixMilli()
	answer, err := s.propose(ctx, &statev1.Entry{Kind: &statev1.Entry_RegisterKeeper{RegisterKeeper: r}})
	if err != nil {
		return nil, err
	}
	registered, ok := answer.(state.RegisterResult)
	if !ok {
		return nil, errors.Errorf("the state answered a registration with %T", answer)
	}
	if registered.Err != nil {
		return nil, registered.Err
	}
	resp := &betweenv1.RegisterResponse{Holder: registered.Holder}
	s.opts.Machine.Read(func(st *state.State) {
		resp.LostBefore = len(st.Keepers[r.GetBox()].GetLost()) > 0
	})
	s.opts.Recorder.Record("keeper registered", "", registered.Holder)
	return resp, nil
}

// Sync commits a holder's reports and grants it what the policy plans. When a
// waiting request of the holder needs tokens that other holders have free, it
// recalls these first and waits for them up to recallTimeout.
func (s *Service) Sync(ctx context.Context, m *statev1.Sync) (*betweenv1.SyncResponse, error) {
	if err := s.opts.Log.ReadBarrier(); err != nil {
		return nil, err
	}
	s.markActive(m)
	var recalls []recall
	if !m.GetLeaving() {
		m.Grants, recalls = s.plan(m.GetHolder(), m.GetReports())
	}
	if len(m.GetReports())+len(m.GetUsages()) > 0 {
		if err := s.proposeSync(ctx, m); err != nil {
			return nil, err
		}
	}
	urgent, background := splitByNeed(recalls, m.GetReports())
	s.recallInBackground(background)
	if len(urgent) > 0 {
		s.recallAndWait(ctx, urgent)
		again, _ := s.plan(m.GetHolder(), m.GetReports())
		if len(again) > 0 {
			if err := s.proposeSync(ctx, &statev1.Sync{Holder: m.GetHolder(), Grants: again}); err != nil {
				return nil, err
			}
		}
	}
	return s.syncResponse(m.GetHolder(), m.GetReports()), nil
}

// markActive records the time of a holder's report, or removes a holder that is leaving.
func (s *Service) markActive(m *statev1.Sync) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReports[m.GetHolder()] = s.opts.Clock.Boot()
	if m.GetLeaving() {
		delete(s.lastReports, m.GetHolder())
	}
}

func (s *Service) isActive(holder string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.lastReports[holder]
	return ok && s.opts.Clock.Boot()-at < activeTimeout
}

func (s *Service) proposeSync(ctx context.Context, m *statev1.Sync) error {
	answer, err := s.propose(ctx, &statev1.Entry{Kind: &statev1.Entry_Sync{Sync: m}})
	if err != nil {
		return err
	}
	synced, ok := answer.(state.SyncResult)
	if !ok {
		return errors.Errorf("the state answered a report with %T", answer)
	}
	return synced.Err
}

// plan applies the policy to each reported budget. It returns the grants to commit
// and the recalls to make for what is still missing.
func (s *Service) plan(holder string, reports []*statev1.BudgetReport) (grants []*statev1.Grant, recalls []recall) {
	s.opts.Machine.Read(func(st *state.State) {
		keepers := state.SortedByKey(st.Keepers)
		for _, r := range reports {
			b := st.Budgets[r.GetBudget()]
			if b == nil {
				continue
			}
			holders, asker := policyInput(keepers, b, holder, r)
			if asker < 0 {
				continue
			}
			plan := s.opts.Policy.Plan(b.Unallotted(), holders, asker)
			if plan.Grant > 0 {
				grants = append(grants, &statev1.Grant{Budget: b.Name, Tokens: plan.Grant})
			}
			for _, share := range plan.Spread {
				if s.isActive(share.Holder) {
					grants = append(grants, &statev1.Grant{Budget: b.Name, Tokens: share.Tokens, Holder: share.Holder})
				}
			}
			for _, rec := range plan.Recalls {
				recalls = append(recalls, recall{budget: b.Name, holder: rec.Holder, asker: holder, tokens: rec.Tokens, address: addressOf(st, rec.Holder)})
			}
		}
	})
	return grants, recalls
}

// policyInput returns the policy's input: all ledgers in force, with the numbers of r
// for the asker, and the asker's index, which is -1 if it has no ledger in force.
func policyInput(keepers []*statev1.KeeperMember, b *state.Budget, asker string, r *statev1.BudgetReport) ([]allot.Holder, int) {
	at := -1
	var holders []allot.Holder
	for _, k := range keepers {
		a := b.AllotmentOf(k.GetHolder())
		h := allot.Holder{Name: k.GetHolder(), Rate: a.GetRate(), Need: a.GetNeed()}
		if a != nil {
			h.Free = free(state.Held(a), a.GetSpent(), a.GetReserved())
		}
		if k.GetHolder() == asker {
			at = len(holders)
			h.Rate, h.Need = r.GetRate(), r.GetNeed()
			if a != nil {
				h.Free = free(a.GetAllotted()-min(a.GetAllotted(), max(a.GetReturned(), r.GetReturned())), r.GetSpent(), r.GetReserved())
			}
		}
		holders = append(holders, h)
	}
	return holders, at
}

func free(held, spent, reserved uint64) uint64 {
	if spent+reserved >= held {
		return 0
	}
	return held - spent - reserved
}

func addressOf(st *state.State, holder string) string {
	for _, k := range st.Keepers {
		if k.GetHolder() == holder {
			return k.GetAddress()
		}
	}
	return ""
}

// syncResponse returns the holder's allotments of the reported budgets, and of up to
// maxUnrequestedRows budgets of which it was granted tokens that it did not request and has
// not reported yet.
func (s *Service) syncResponse(holder string, reports []*statev1.BudgetReport) *betweenv1.SyncResponse {
	resp := &betweenv1.SyncResponse{}
	s.opts.Machine.Read(func(st *state.State) {
		names := map[string]bool{}
		for _, r := range reports {
			names[r.GetBudget()] = true
		}
		for budget := range st.Untold[holder] {
			if len(names) < len(reports)+maxUnrequestedRows {
				names[budget] = true
			}
		}
		for name := range names {
			b := st.Budgets[name]
			if b == nil {
				continue
			}
			resp.Rows = append(resp.Rows, &betweenv1.AllottedRow{
				Budget:     b.Name,
				Allotted:   b.AllotmentOf(holder).GetAllotted(),
				Unallotted: b.Unallotted(),
				Gone:       unrecoverable(st, b),
				Granted:    b.Granted,
			})
		}
	})
	return resp
}

// unrecoverable returns the tokens of a budget that can't be allotted again: those that
// were spent, and all that lost ledgers held.
func unrecoverable(st *state.State, b *state.Budget) uint64 {
	sum := uint64(0)
	for _, a := range b.Allotments {
		if st.IsInForce(a.GetHolder()) {
			sum += a.GetSpent()
		} else {
			sum += state.Held(a)
		}
	}
	return sum
}
