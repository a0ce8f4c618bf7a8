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

// joinSkew is how far the clock that stamped a keeper's joining may differ
// from the clock that made a key, in milliseconds.
const joinSkew = 60_000

// homes returns the keepers in the order in which they are home to a key, by
// rendezvous hashing (Thaler and Ravishankar 1998). Every box gets the same
// order, so a retry that reaches another box finds the record of the first
// attempt. A key that starts with a data centre's name and a colon is at home
// there.
func homes(keepers []*statev1.KeeperMember, group, key string) []*statev1.KeeperMember {
	list := append([]*statev1.KeeperMember(nil), keepers...)
	wanted, _, _ := strings.Cut(key, ":")
	weight := make(map[string]uint64, len(list))
	for _, k := range list {
		weight[k.GetBox()] = xxhash.Sum64String(group + "\x00" + key + "\x00" + k.GetBox())
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if (a.GetDataCentre() == wanted) != (b.GetDataCentre() == wanted) {
			return a.GetDataCentre() == wanted
		}
		return weight[a.GetBox()] > weight[b.GetBox()]
	})
	return list
}

// nearest returns the keepers for a request without a key of the caller's,
// which no other attempt can share: this box, its data centre, the rest.
func nearest(keepers []*statev1.KeeperMember, box, dataCentre, key string) []*statev1.KeeperMember {
	list := homes(keepers, "", key)
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

// formerHome returns the keeper that was home to a key before the present home
// joined, when a record of the key may still stand there; nil otherwise.
func formerHome(keepers []*statev1.KeeperMember, group, key string, since int64) *statev1.KeeperMember {
	home := homes(keepers, group, key)[0]
	if home.GetJoined() < since {
		return nil
	}
	if born, timed := ledger.KeyTime(key); timed && born > home.GetJoined()+joinSkew {
		return nil
	}
	var before []*statev1.KeeperMember
	for _, k := range keepers {
		if k.GetJoined() < home.GetJoined() {
			before = append(before, k)
		}
	}
	if len(before) == 0 {
		return nil
	}
	return homes(before, group, key)[0]
}
