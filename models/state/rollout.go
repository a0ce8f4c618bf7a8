// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package state

import (
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// Names of the settings that operators can change with a rollout command.
const (
	RolloutTargetSlots      = "target-slots"
	RolloutInteractiveSlots = "interactive-slots"
	RolloutQueueRequests    = "queue-requests"
	RolloutQueueTokens      = "queue-tokens"
	RolloutServiceSlots     = "service-slots"
	RolloutDecodeWeight     = "decode-weight"
	RolloutMaxTokens        = "max-tokens"
)

// Range is the permitted range of a setting, both ends included, and its default.
type Range struct {
	Low, High, Default int64
	Meaning            string
}

// RolloutRanges holds all settings that can be rolled out, by name.
var RolloutRanges = map[string]Range{
	RolloutTargetSlots:      {Low: 1, High: 4096, Default: 16, Meaning: "requests in progress at one model engine from one box"},
	RolloutInteractiveSlots: {Low: 0, High: 4096, Default: 2, Meaning: "of these, kept free for interactive requests"},
	RolloutQueueRequests:    {Low: 1, High: 1_000_000, Default: 20_000, Meaning: "requests that may wait at one box"},
	RolloutQueueTokens:      {Low: 1, High: 1 << 40, Default: 200_000_000, Meaning: "reserved tokens that may wait at one box"},
	RolloutServiceSlots:     {Low: 1, High: 4096, Default: 32, Meaning: "requests in progress at one server of a plain service from one box"},
	RolloutDecodeWeight:     {Low: 0, High: 1000, Default: 3, Meaning: "cost of a running request in prompt tokens, times 16"},
	RolloutMaxTokens:        {Low: 1, High: 1_000_000, Default: 32_768, Meaning: "highest limit of generated tokens in one request"},
}

// ValidateRollout returns an error if a rollout names an unknown setting or its value
// is out of range.
func ValidateRollout(r *statev1.Rollout) error {
	limits, ok := RolloutRanges[r.GetName()]
	if !ok {
		return errors.Errorf("there is no value %q to roll out: use one of %s", r.GetName(), strings.Join(rolloutNames(), ", "))
	}
	n, err := strconv.ParseInt(r.GetValue(), 10, 64)
	if err != nil || n < limits.Low || n > limits.High {
		return errors.Errorf("%s must be a whole number from %d to %d", r.GetName(), limits.Low, limits.High)
	}
	return nil
}

func rolloutNames() []string {
	names := make([]string, 0, len(RolloutRanges))
	for name := range RolloutRanges {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// RolloutValue returns the current value of a setting: the rolled-out one or its default.
func (s *State) RolloutValue(name string) int64 {
	if r := s.Rollouts[name]; r != nil {
		if n, err := strconv.ParseInt(r.GetValue(), 10, 64); err == nil {
			return n
		}
	}
	return RolloutRanges[name].Default
}
