// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
	"havenwinch.dev/havenwinch/models/ledger"
)

// maxJoinSkew is the maximum difference, in milliseconds, between the clock that stamped
// the joining of a keeper and the clock that stamped a key.
const maxJoinSkew = 60_000

// rankKeepers returns the keepers in the order in which they are responsible for a key,
// by rendezvous hashing (Thaler and Ravishankar 1998). The first one is the key's home.
// Every box computes the same order, so that a retry that reaches another box finds the
// record of the first attempt. For a key that starts with the name of a data centre and
// a colon, the keepers of that data centre come first.
func rankKeepers(keepers []*statev1.KeeperMember, group, key string) []*statev1.KeeperMember {
	list := append([]*statev1.KeeperMember(nil), keepers...)
	preferred, _, _ := strings.Cut(key, ":")
	weight := make(map[string]uint64, len(list))
	for _, k := range list {
		weight[k.GetBox()] = xxhash.Sum64String(group + "\x00" + key + "\x00" + k.GetBox())
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if (a.GetDataCentre() == preferred) != (b.GetDataCentre() == preferred) {
			return a.GetDataCentre() == preferred
		}
		return weight[a.GetBox()] > weight[b.GetBox()]
	})
	return list
}

// rankByDistance returns the keepers for a request without an idempotency key: the one
// on this box, those of its data centre, the rest. No other attempt has to find the
// record of such a request.
func rankByDistance(keepers []*statev1.KeeperMember, box, dataCentre, key string) []*statev1.KeeperMember {
	list := rankKeepers(keepers, "", key)
	sort.SliceStable(list, func(i, j int) bool {
		return distance(list[i], box, dataCentre) < distance(list[j], box, dataCentre)
	})
	return list
}

func distance(k *statev1.KeeperMember, box, dataCentre string) int {
	switch {
	case k.GetBox() == box:
		return 0
	case k.GetDataCentre() == dataCentre:
		return 1
	default:
		return 2
	}
}

// formerHome returns the keeper that was home to a key before the current home joined.
// It returns nil if that keeper can't have a record of the key any more: the current
// home joined before since, or before the key was made.
func formerHome(keepers []*statev1.KeeperMember, group, key string, since int64) *statev1.KeeperMember {
	home := rankKeepers(keepers, group, key)[0]
	if home.GetJoined() < since {
		return nil
	}
	if created, ok := ledger.KeyTime(key); ok && created > home.GetJoined()+maxJoinSkew {
		return nil
	}
	var earlier []*statev1.KeeperMember
	for _, k := range keepers {
		if k.GetJoined() < home.GetJoined() {
			earlier = append(earlier, k)
		}
	}
	if len(earlier) == 0 {
		return nil
	}
	return rankKeepers(earlier, group, key)[0]
}
