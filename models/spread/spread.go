// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package spread balances the calls of a service over its targets. Calls whose prompts
// share a prefix go to the same target as long as its load allows, by rendezvous
// hashing with bounded loads (Thaler and Ravishankar 1998; Mirrokni et al. 2018), so
// that all boxes agree without communication. All other calls go to the least loaded
// target, with a preference for the box's own data centre. Targets that fail or can't
// be reached are banned for a time.
package spread

import (
	"math"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/rate"
	"havenwinch.dev/havenwinch/models/software"
	"havenwinch.dev/havenwinch/models/speed"
)

const (
	// loadBound is the ratio of a target's load to the mean load above which calls with
	// a shared prefix go to the next target.
	loadBound = 1.5
	// loadSlack is added to the bound, in calls of the whole fleet. It is divided by
	// the number of boxes: each sees only its own calls, and would otherwise add all
	// of it.
	loadSlack = 3.0
	// maxWaitingTime bounds the prefill time that may wait at one target, over the
	// whole fleet, before calls with a shared prefix go to the next target.
	// defaultMaxWaitingTokens is the bound in prompt tokens while the prefill speed is
	// not known.
	maxWaitingTime          = 250 * time.Millisecond
	defaultMaxWaitingTokens = 20000
	// remoteCost is added to the load of a target in another data centre, in calls.
	remoteCost = 0.6
	// cacheFillTime is how long a target that has started is taken to lack the caches of the
	// prefixes that belong to it. Within that time the last user of a prefix comes again.
	cacheFillTime = 10 * time.Second
)

// Target is one start (one run of the process) of a registered target, as this box
// sees it. Its id, start time, service, address, data centre and version never change, so that
// calls may read them without the table's lock. A target that has moved or restarted gets
// a new Target, which inherits nothing.
type Target struct {
	ID string
	// Born is when the target started, in Unix milliseconds by its own clock; zero if
	// its registration has no start time.
	Born       int64
	Service    string
	Address    string
	DataCentre string
	// Version is the version of the target's software, empty if the target does not know it, and
	// Software its identity.
	Version  string
	Software software.Identity

	Draining bool
	// TellsNoStart is set once a report of the target did not tell its start.
	TellsNoStart bool
	// RunningCalls counts this box's calls at the target.
	RunningCalls int
	// WaitingTokens counts the prompt tokens of this box's calls that have had no event yet, and
	// HeldTokens the most that all its calls may hold in the target's memory.
	WaitingTokens, HeldTokens int
	// Slots is how many calls the target works on at once.
	Slots int
	room  targetRoom
	// limit is what the target accepts from all boxes, meter what this box has sent.
	limit rate.Limit
	meter rate.Meter
	// ownStatement is the last statement that the target made to this box and that was the
	// latest of all at the time.
	ownStatement rate.Statement
	// peerLimit is the limit that the other boxes know, if isPeerLimitKnown is set.
	// unannounced is set while the target is queued for announcement, and hasStatedLimit
	// once it has stated any limit.
	peerLimit                                     float64
	isPeerLimitKnown, unannounced, hasStatedLimit bool
	// CallsSent counts this box's calls to the target, InternalSent the requests that the
	// box made on its own behalf: load reports, copies and releases.
	CallsSent, InternalSent uint64
	// Rejected counts this box's calls that the target rejected for want of room, and
	// RejectionLogged is when one of them was last logged.
	Rejected        uint64
	RejectionLogged time.Duration
	// RejectionLimitLogged is when the rejection limit of the target was last logged.
	RejectionLimitLogged time.Duration

	hash  uint64
	start string
	// weight is the target's share of the calls, as a ratio to that of a target of usual speed.
	weight float64
	// revision is that of the row from which the target was last updated.
	revision uint64
	// coldUntil is until when the target has reported to be cold, suspectUntil until when it
	// counts as cold because it may have restarted.
	coldUntil, suspectUntil time.Duration
	// fillingUntil is until when the target's cache may lack the prefixes that belong to it.
	fillingUntil time.Duration
	// successor is the target that took the place of this one under its id, nil for none.
	successor atomic.Pointer[Target]
	// replaced is set once another target answers at the address, hasAnnouncedEnd once the target
	// has announced its end.
	replaced        bool
	hasAnnouncedEnd bool
	// unreachableBans counts the bans for being unreachable since the target was last
	// reached.
	unreachableBans int
	bannedUntil     time.Duration
	// outlier is set while the target is banned as an outlier, and until its next outcome.
	// outcomeCount counts the calls since the last such ban, and failureRate is the moving
	// average of their failure rate.
	outlier      bool
	outcomeCount float64
	failureRate  float64
	silence      silence
}

// StartIdentity identifies this start of the target: by id and start time, or by the id
// alone if the start time is not known.
func (t *Target) StartIdentity() string { return t.start }

// Successor returns the target that has taken the place of this one under its id, nil for none. It
// may be called without the table's lock.
func (t *Target) Successor() *Target { return t.successor.Load() }

func startIdentity(id string, born int64) string {
	if born == 0 {
		return id
	}
	return id + "@" + strconv.FormatInt(born, 10)
}

// IsUnreachable reports whether the target could not be reached when last tried.
func (t *Target) IsUnreachable() bool { return t.unreachableBans > 0 }

// Table holds the targets by service. It is not safe for concurrent use.
type Table struct {
	dataCentre string
	byID       map[string]*Target
	// hasTargets is set once the table has had targets, from the second update on.
	hasTargets bool
	// services holds the targets of each service, the fastest first, then by hash.
	services map[string][]*Target
	prefill  map[string]*prefillStats

	coldTerms map[string]ColdTerms
	// evacuations has the last known row of each data centre that was ever evacuated.
	evacuations map[string]*statev1.Evacuation

	fleet rate.Fleet
	// fleetRevision increases when the boxes of the fleet change.
	fleetRevision uint64
	// listRevision increases when a service gets or loses a target, or one has other slots.
	listRevision uint64
	rooms        map[string]*roomStats
	// hasRejectionLimits is set once any target has named a rejection limit.
	hasRejectionLimits bool
	engineTerms        map[string]EngineTerms
	pressure           map[string]*limitPressure
	// unannounced are the targets whose limits are to be announced to the other boxes.
	unannounced []*Target
	// weightsUntil is until when the weights count. weightedTargets counts the targets whose
	// weight is not 1, weightChanges the changes since they were last read.
	weightsUntil                   time.Duration
	weightedTargets, weightChanges int
	// speeds returns the speed of a target; it is nil before the first speeds. unweighed has the
	// services whose targets have changed since their weights were set.
	speeds    func(speed.Instance) speed.Speed
	unweighed map[string]bool
}

// NewTable returns an empty table for a box in the given data centre.
func NewTable(dataCentre string) *Table {
	return &Table{
		dataCentre: dataCentre, byID: map[string]*Target{}, services: map[string][]*Target{},
		prefill: map[string]*prefillStats{}, evacuations: map[string]*statev1.Evacuation{}, pressure: map[string]*limitPressure{},
		rooms: map[string]*roomStats{}, unweighed: map[string]bool{},
	}
}

// Put adds, updates or removes a target as its registration says. A new start time,
// service, address, data centre or version makes it a new target.
func (tb *Table) Put(row *statev1.RegisteredTarget, now time.Duration) {
	t := tb.byID[row.GetId()]
	if row.GetState() == statev1.RegisteredTarget_STATE_GONE {
		tb.remove(t)
		return
	}
	var former *Target
	if t != nil && !t.isOf(row) {
		tb.remove(t)
		former, t = t, nil
	}
	if t == nil {
		// The first targets of a box have run for some time as far as it knows.
		filling := time.Duration(0)
		if tb.hasTargets {
			filling = now + cacheFillTime
		}
		t = &Target{
			ID: row.GetId(), Born: row.GetBorn(), Service: row.GetService(), Address: row.GetAddress(), DataCentre: row.GetDataCentre(), Version: row.GetVersion(), Software: software.Of(row),
			hash: xxhash.Sum64String(row.GetId()), weight: 1, start: startIdentity(row.GetId(), row.GetBorn()), fillingUntil: filling,
		}
		tb.byID[t.ID] = t
		tb.insert(t)
		if former != nil {
			former.successor.Store(t)
		}
	}
	if row.GetRevision() != t.revision {
		t.revision = row.GetRevision()
		t.RecordCold(time.Duration(row.GetCold())*time.Millisecond, now)
	}
	if slots := int(row.GetSlots()); slots != t.Slots {
		t.Slots = slots
		tb.listRevision++
	}
	t.Draining = row.GetState() == statev1.RegisteredTarget_STATE_DRAINING
	t.hasAnnouncedEnd = t.hasAnnouncedEnd || t.Draining
}

// isOf reports whether a row with the target's id is one of this start.
func (t *Target) isOf(row *statev1.RegisteredTarget) bool {
	return t.Born == row.GetBorn() && t.Service == row.GetService() && t.Address == row.GetAddress() &&
		t.DataCentre == row.GetDataCentre() && t.Version == row.GetVersion()
}

// insert adds a target to its service, in the order of weights and hashes.
func (tb *Table) insert(t *Target) {
	list := tb.services[t.Service]
	at, _ := slices.BinarySearchFunc(list, t, comparePlaces)
	tb.services[t.Service] = slices.Insert(list, at, t)
	tb.unweighed[t.Service] = true
	tb.listRevision++
}

func (tb *Table) remove(t *Target) {
	if t == nil {
		return
	}
	t.Draining = true
	delete(tb.byID, t.ID)
	tb.countWeighted(t, -1)
	tb.unweighed[t.Service] = true
	tb.listRevision++
	list := tb.services[t.Service]
	for i, other := range list {
		if other == t {
			tb.services[t.Service] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// RetainOnly removes every target that is not among the ids.
func (tb *Table) RetainOnly(ids map[string]bool) {
	for id, t := range tb.byID {
		if !ids[id] {
			tb.remove(t)
		}
	}
	tb.hasTargets = len(tb.byID) > 0
}

func (tb *Table) Len() int { return len(tb.byID) }

// ServiceVersion is a version of the software of a service.
type ServiceVersion struct{ Service, Version string }

// RunningCalls returns how many calls of this box run at the targets of each version.
func (tb *Table) RunningCalls() map[ServiceVersion]int {
	running := map[ServiceVersion]int{}
	for service, list := range tb.services {
		for _, t := range list {
			running[ServiceVersion{service, t.Version}] += t.RunningCalls
		}
	}
	return running
}

// Criteria describes a call for the choice of its target.
type Criteria struct {
	Service string
	// Affinity is the hash of the shared prefix of the prompt, zero without one.
	Affinity uint64
	// UnsharedTokens counts the prompt tokens that are not shared with other calls, and Tokens the
	// most that the call may hold in the memory of its target.
	UnsharedTokens, Tokens int
	// MaxPause is the longest pause that the route allows a stream, zero for no bound.
	MaxPause time.Duration
	// Boxes is how many boxes send calls. Each sees only its own.
	Boxes int
	// Exclude names the starts of targets that have had the call.
	Exclude map[string]bool
	// Avoid names the starts of targets that may have the call only if it can be sent to no other
	// now.
	Avoid map[string]bool
	// Software is that of the only targets that may have the call, empty for any.
	Software software.Identity
	// Rank is the urgency of the call, zero being the most urgent.
	Rank uint32
	// MaxWait is how long the call may wait for a target whose limit is used up, and MaxSeatWait
	// how long for one at which this box has no seat. Ticket is that of its last Backoff.
	MaxWait, MaxSeatWait time.Duration
	Ticket               int64
}

// Choice is the result of Choose.
type Choice struct {
	// Target is nil if no target can take the call now.
	Target *Target
	// IsDedicated is set if the prompt is long and Target is dedicated to long prompts.
	IsDedicated bool
	// Dedicated are the dedicated targets whose queues are to be queried before a long
	// prompt is sent.
	Dedicated []*Target
	// AffinityTarget is the target that a long prompt would have had without dedicated
	// targets; nil for other calls.
	AffinityTarget *Target
	// CacheSource is the target from which the cache of the shared prefix can be copied, nil
	// if that is Target itself or the prompt has no shared prefix.
	CacheSource *Target
	// PrefillTime is the expected prefill time of the prompt, zero if unknown.
	PrefillTime time.Duration
	// LimitedTargets counts the targets whose limits keep this box from sending to them now.
	LimitedTargets int
	// Seated are the targets at which the call needs a granted seat. They are set only if no other
	// target can take the call.
	Seated []*Target
	// Backoff says what to do with the call if there are no others.
	Backoff Backoff
}

// Choose returns the target for a call. Draining targets are never chosen, and banned
// ones only if all others are banned as well. A call that has had a target already goes
// to a silent one only if all others are silent as well.
func (tb *Table) Choose(criteria Criteria, now time.Duration) Choice {
	c := Choice{}
	tb.UpdateWeights(now)
	found := tb.candidates(criteria, now)
	candidates := found.sendable
	c.LimitedTargets = len(found.exhausted) + len(found.seated)
	if len(candidates) == 0 {
		c.Seated = found.seated
		if c.LimitedTargets > 0 && len(c.Seated) == 0 {
			c.Backoff = tb.waitOrRefuse(criteria, found.exhausted, now)
		}
		return c
	}
	r := tb.prefillOf(criteria.Service)
	c.PrefillTime = r.prefillTime(criteria.UnsharedTokens)
	long := criteria.MaxPause > 0 && float64(c.PrefillTime) > longPrefillShare*float64(criteria.MaxPause)
	if long {
		r.addLongPrompt(c.PrefillTime, now)
	}
	// Targets with limits come last and are never dedicated to long prompts: the set of
	// dedicated targets must not change from window to window, and querying their queues
	// would use up the limits.
	n := min(r.fastestDedicated(candidates, criteria.Boxes, now), found.unlimited)
	dedicated, others := candidates[:n], candidates[n:]
	c.Target = tb.pick(criteria, others, now)
	if long && len(dedicated) > 0 {
		c.IsDedicated = true
		c.AffinityTarget, c.Target = c.Target, leastWaiting(dedicated, criteria.Affinity)
		c.Dedicated = targetsToQuery(dedicated, criteria.Affinity)
	}
	if criteria.Affinity != 0 {
		c.CacheSource = cacheSource(c.Target, others, criteria.Affinity, now)
	}
	return c
}

// cacheSource returns the target from which another one can copy the cache of a shared
// prefix: the first by the prefix, among those of its software, that has had the time to fill its
// cache. It returns nil if that is the target itself or there is none.
func cacheSource(target *Target, candidates []*Target, affinity uint64, now time.Duration) *Target {
	filled := func(t *Target) bool { return t.fillingUntil <= now && t.Software == target.Software }
	source := highestScore(candidates, affinity, filled)
	if source == target {
		return nil
	}
	return source
}

// prefillOf returns the prefill record of a service, and creates it if needed.
func (tb *Table) prefillOf(service string) *prefillStats {
	r := tb.prefill[service]
	if r == nil {
		r = &prefillStats{}
		tb.prefill[service] = r
	}
	return r
}

// targetsToQuery returns the dedicated targets that rank highest for a shared prefix,
// at most maxQueried: asking all of them for their queues would not scale with the
// fleet.
func targetsToQuery(dedicated []*Target, affinity uint64) []*Target {
	list := slices.Clone(dedicated)
	slices.SortFunc(list, func(a, b *Target) int {
		if outscores(a, a.affinityHash(affinity), b, b.affinityHash(affinity)) {
			return -1
		}
		return 1
	})
	return list[:min(maxQueried, len(list))]
}

// leastWaiting returns the target with the fewest waiting prompt tokens for its weight.
func leastWaiting(candidates []*Target, affinity uint64) *Target {
	waiting := func(t *Target) float64 { return float64(t.WaitingTokens) / t.weight }
	least := math.Inf(1)
	for _, t := range candidates {
		least = min(least, waiting(t))
	}
	return highestScore(candidates, affinity, func(t *Target) bool { return waiting(t) == least })
}

// RecordPrefill records the time from a call to its first event, for a prompt with the
// given number of unshared tokens.
func (tb *Table) RecordPrefill(t *Target, tokens int, first time.Duration) {
	tb.prefillOf(t.Service).recordPrefill(tokens, first)
}

// pick chooses among the candidates for a call: by the shared prefix as far as their
// loads allow, otherwise the least loaded.
func (tb *Table) pick(criteria Criteria, candidates []*Target, now time.Duration) *Target {
	if criteria.Affinity == 0 {
		return tb.leastLoaded(candidates)
	}
	total := 0
	for _, t := range candidates {
		total += t.RunningCalls
	}
	boxes := max(1, criteria.Boxes)
	sum := sumWeights(candidates)
	bound, slack := loadBound*float64(total)/sum, loadSlack/float64(boxes)
	belowBound := func(t *Target) bool { return float64(t.RunningCalls) <= bound*t.weight+slack }
	share := float64(tb.prefillOf(criteria.Service).tokensIn(maxWaitingTime, defaultMaxWaitingTokens) / boxes)
	mean := sum / float64(len(candidates))
	fewWaiting := func(t *Target) bool { return belowBound(t) && float64(t.WaitingTokens)*mean < share*t.weight }
	if t := tb.coldSubstitute(criteria, candidates, now); t != nil && fewWaiting(t) {
		return t
	}
	if best := highestScore(candidates, criteria.Affinity, fewWaiting); best != nil {
		return best
	}
	if best := highestScore(candidates, criteria.Affinity, belowBound); best != nil {
		return best
	}
	return tb.leastLoaded(candidates)
}

// highestScore returns the target with the highest rendezvous score for a shared prefix
// among the eligible candidates, nil if there is none.
func highestScore(candidates []*Target, affinity uint64, eligible func(*Target) bool) *Target {
	var best *Target
	bestHash := uint64(0)
	for _, t := range candidates {
		if !eligible(t) {
			continue
		}
		if hash := t.affinityHash(affinity); best == nil || outscores(t, hash, best, bestHash) {
			best, bestHash = t, hash
		}
	}
	return best
}

// candidateSet holds the candidates for a call.
type candidateSet struct {
	// sendable are the targets to which this box may send now, the fastest first, then by
	// hash: first those without a limit, unlimited in number, then those with one.
	sendable  []*Target
	unlimited int
	// seated are the targets at which a seat has to be granted first.
	seated []*Target
	// exhausted are the targets whose limits, or missing seats, keep this box from sending to them now.
	exhausted []*Target
}

// isUsable reports whether a target may have a call, apart from bans and limits.
func (tb *Table) isUsable(t *Target, criteria Criteria) bool {
	return tb.isCheckable(t) && !criteria.Exclude[t.start] && (criteria.Software == "" || t.Software == criteria.Software)
}

// candidates returns the targets that a call may go to. Banned targets are included
// only if there are no others.
func (tb *Table) candidates(criteria Criteria, now time.Duration) candidateSet {
	var found candidateSet
	var limited, banned []*Target
	for _, t := range tb.services[criteria.Service] {
		switch {
		case !tb.isUsable(t, criteria):
		case t.bannedUntil > now:
			banned = append(banned, t)
		case !tb.HasLimit(t, now) && !tb.HasRejectionLimit(t, now):
			found.sendable = append(found.sendable, t)
		case tb.needsGrant(t, now) && tb.hasRate(t, now):
			found.seated = append(found.seated, t)
		case !tb.needsGrant(t, now) && tb.sendable(t, criteria, now):
			limited = append(limited, t)
		default:
			found.exhausted = append(found.exhausted, t)
		}
	}
	found.unlimited = len(found.sendable)
	if found.unlimited == 0 && len(limited) > 0 && !tb.mayUseLimited(criteria, now) {
		found.exhausted = append(found.exhausted, limited...)
		return found
	}
	found.sendable = append(found.sendable, limited...)
	if len(found.sendable)+len(found.seated)+len(found.exhausted) > 0 {
		found.avoidSome(criteria)
		return found
	}
	for _, t := range banned {
		if tb.sendable(t, criteria, now) {
			found.sendable = append(found.sendable, t)
		}
	}
	found.avoidSome(criteria)
	return found
}

// avoidSome removes the targets that criteria avoid, unless there are no others. For a call that has had
// another target already it removes the silent ones, too. New calls go to silent ones: when many are silent, the
// others can't carry the calls of all, and streams at them end at their deadlines.
func (found *candidateSet) avoidSome(criteria Criteria) {
	if len(criteria.Avoid) > 0 {
		found.avoid(func(t *Target) bool { return criteria.Avoid[t.start] })
	}
	if len(criteria.Exclude) > 0 {
		found.avoid((*Target).IsSilent)
	}
}

// avoid removes targets from those to which this box may send, unless all would be removed.
func (found *candidateSet) avoid(isAvoided func(*Target) bool) {
	if !slices.ContainsFunc(found.sendable, isAvoided) {
		return
	}
	var others []*Target
	unlimited := 0
	for i, t := range found.sendable {
		if isAvoided(t) {
			continue
		}
		others = append(others, t)
		if i < found.unlimited {
			unlimited++
		}
	}
	if len(others) > 0 {
		found.sendable, found.unlimited = others, unlimited
	}
}

// leastLoaded returns the target with the least load for its weight, of several the fastest.
func (tb *Table) leastLoaded(candidates []*Target) *Target {
	var best *Target
	bestCost := math.Inf(1)
	for _, t := range candidates {
		cost := float64(t.RunningCalls)/t.weight + 4*t.failureRate
		if t.DataCentre != tb.dataCentre {
			cost += remoteCost
		}
		if cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}
