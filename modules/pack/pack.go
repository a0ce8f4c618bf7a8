// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package pack compresses protobuf messages that are sent to many boxes, so that
// they are compressed only once for all of them.
package pack

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// maxUnpacked limits the decompressed size in bytes, so that a corrupted message
// can't exhaust the memory.
const maxUnpacked = 64 << 20

// Pack encodes a message and compresses it with DEFLATE.
func Pack(m proto.Message) ([]byte, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	return out.Bytes(), nil
}

// Unpack decompresses and decodes the output of Pack into m.
func Unpack(packed []byte, m proto.Message) error {
	r := flate.NewReader(bytes.NewReader(packed))
	data, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return errors.Wrap(err, "a packed message is damaged: send it again")
	}
	if len(data) > maxUnpacked {
		return errors.Errorf("a packed message is larger than %d bytes: split it", maxUnpacked)
	}
	return errors.WithStack(proto.Unmarshal(data, m))
}
