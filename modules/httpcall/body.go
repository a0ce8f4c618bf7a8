// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpcall

import (
	"fmt"
	"io"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/modules/bytebudget"
)

const (
	// firstPart and maxPart are the sizes of the first part of a body and of the largest ones in bytes. The
	// first one is not counted as held.
	firstPart = 512
	maxPart   = 256 << 10
)

// ErrBodyTooLong is the error for a body that is longer than its reader takes.
type ErrBodyTooLong struct{ MaxBytes int }

func (e ErrBodyTooLong) Error() string {
	return fmt.Sprintf("the body is longer than %d bytes", e.MaxBytes)
}

// IsErrBodyTooLong reports whether an error is an ErrBodyTooLong.
func IsErrBodyTooLong(err error) bool {
	var e ErrBodyTooLong
	return errors.As(err, &e)
}

// ErrNoMemory is the error for an answer that does not fit into what the process may hold.
type ErrNoMemory struct{ Held int64 }

func (e ErrNoMemory) Error() string {
	return fmt.Sprintf("no memory for the answer beside the %d bytes that are held: give the process more, or call again", e.Held)
}

// IsErrNoMemory reports whether an error is an ErrNoMemory.
func IsErrNoMemory(err error) bool {
	var e ErrNoMemory
	return errors.As(err, &e)
}

// Body is a body that was read whole. It is kept in parts, so that reading it allocates little more than its
// size. It is not safe for concurrent use.
type Body struct {
	parts [][]byte
	size  int
	hold  bytebudget.Hold
}

// ReadBody reads a body of at most maxBytes. Its bytes are counted in memory until it is closed; nil for no
// limit.
func ReadBody(r io.Reader, maxBytes int, memory *bytebudget.Budget) (*Body, error) {
	b := &Body{hold: bytebudget.Hold{Budget: memory}}
	if err := b.readAll(r, maxBytes, memory); err != nil {
		_ = b.Close()
		return nil, err
	}
	return b, nil
}

func (b *Body) readAll(r io.Reader, maxBytes int, memory *bytebudget.Budget) error {
	part := make([]byte, 0, min(firstPart, maxBytes+1))
	for {
		n, err := r.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		b.size += n
		if b.size > maxBytes {
			return errors.WithStack(ErrBodyTooLong{MaxBytes: maxBytes})
		}
		if err == io.EOF {
			b.parts = append(b.parts, part)
			return nil
		}
		if err != nil {
			return errors.WithStack(err)
		}
		if len(part) == cap(part) {
			b.parts = append(b.parts, part)
			next := min(2*cap(part), maxPart)
			if !b.hold.GrowShared(next) {
				return errors.WithStack(ErrNoMemory{Held: memory.Held()})
			}
			part = make([]byte, 0, next)
		}
	}
}

// Len returns the number of bytes that have not been read with Read.
func (b *Body) Len() int { return b.size }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (n int, err error) {
	for len(b.parts) > 0 && n < len(p) {
		copied := copy(p[n:], b.parts[0])
		n += copied
		if b.parts[0] = b.parts[0][copied:]; len(b.parts[0]) == 0 {
			b.parts = b.parts[1:]
		}
	}
	b.size -= n
	if n == 0 && len(p) > 0 {
		return 0, io.EOF
	}
	return n, nil
}

// Bytes returns the bytes that have not been read with Read, as a copy if they are in more than one part.
func (b *Body) Bytes() []byte {
	if len(b.parts) == 1 {
		return b.parts[0]
	}
	all := make([]byte, 0, b.size)
	for _, part := range b.parts {
		all = append(all, part...)
	}
	return all
}

// Close drops the body and ends its count. It may be called more than once.
func (b *Body) Close() error {
	b.parts, b.size = nil, 0
	b.hold.Release()
	return nil
}
