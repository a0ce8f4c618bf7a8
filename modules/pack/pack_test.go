// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package pack

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	statev1 "havenwinch.dev/havenwinch/gen/havenwinch/state/v1"
)

func TestPackAndUnpack(t *testing.T) {
	m := &statev1.RoutingTable{Version: 7, Source: []byte(strings.Repeat("a document ", 1000))}
	packed, err := Pack(m)
	if err != nil {
		t.Fatal(err)
	}
	if len(packed) > proto.Size(m)/10 {
		t.Fatalf("packed size is %d bytes of %d, want at most a tenth", len(packed), proto.Size(m))
	}
	got := &statev1.RoutingTable{}
	if err := Unpack(packed, got); err != nil || !proto.Equal(m, got) {
		t.Fatalf("Unpack() = %v, %v, want the packed message", got, err)
	}
	if Unpack(packed[:len(packed)/2], got) == nil {
		t.Fatal("a truncated message was unpacked without an error")
	}
}
