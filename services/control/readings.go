// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import betweenv1 "havenwinch.dev/havenwinch/gen/havenwinch/between/v1"

// readings sums up the prefill load that the long prompts of all boxes cause, by
// service, so that the boxes agree on how many targets to set aside for long prompts.
// It is updated with each report and not replicated: a new leader learns it from the
// next reports.
type readings struct {
	byHolder map[string][]*betweenv1.ReadingLoad
	total    map[string]uint64
}

// put replaces the loads that a holder has reported. Without loads it removes the
// holder.
func (r *readings) put(holder string, loads []*betweenv1.ReadingLoad) {
	if r.total == nil {
		r.byHolder, r.total = map[string][]*betweenv1.ReadingLoad{}, map[string]uint64{}
	}
	for _, l := range r.byHolder[holder] {
		r.total[l.GetService()] -= l.GetLoad()
		if r.total[l.GetService()] == 0 {
			delete(r.total, l.GetService())
		}
	}
	delete(r.byHolder, holder)
	if len(loads) == 0 {
		return
	}
	r.byHolder[holder] = loads
	for _, l := range loads {
		r.total[l.GetService()] += l.GetLoad()
	}
}

// list returns the total load of each service, in no particular order.
func (r *readings) list() []*betweenv1.ReadingLoad {
	list := make([]*betweenv1.ReadingLoad, 0, len(r.total))
	for service, load := range r.total {
		list = append(list, &betweenv1.ReadingLoad{Service: service, Load: load})
	}
	return list
}
