// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package software tells which software the targets of a service run. What two versions write
// does not fit together, so a stream may only go on at a target of the software that began it.
package software

import (
	"strconv"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

// Identity identifies the software of a target among the targets of its service. The empty
// identity stands for software that is not known.
type Identity string

// Unverified is the identity of a stream whose target may have started again, with other software,
// before it got the call. No target has it.
const Unverified Identity = "unverified"

// Of returns the identity of the software of a registered target. A target that does not know its
// version shares its software with no other start.
func Of(row *statev1.RegisteredTarget) Identity {
	if row.GetVersion() != "" {
		return ofVersion(row.GetVersion())
	}
	return Identity("start " + row.GetId() + "@" + strconv.FormatInt(row.GetBorn(), 10))
}

// Sole returns the software of a service if all its versions are one. It is not known if a target
// does not know its version.
func Sole(versions []string) (id Identity, ok bool) {
	for _, version := range versions {
		if version == "" || version != versions[0] {
			return "", false
		}
	}
	if len(versions) == 0 {
		return "", false
	}
	return ofVersion(versions[0]), true
}

func ofVersion(version string) Identity { return Identity("version " + version) }
