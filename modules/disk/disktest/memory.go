// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package disktest provides an in-memory disk.Disk for tests. It tracks which
// bytes were synced, so that a simulated crash can lose the others, and it can
// inject write errors.
package disktest

import (
	"os"
	"sort"
	"sync"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/modules/disk"
)

// Memory is an in-memory disk.Disk. It is safe for concurrent use.
type Memory struct {
	mu          sync.Mutex
	files       map[string]*content
	injectedErr error
	syncs       int
}

type content struct {
	data []byte
	// synced is the number of leading bytes that survive a crash.
	synced int
}

// New returns an empty folder.
func New() *Memory {
	return &Memory{files: map[string]*content{}}
}

// SetError makes every later open, write, replace and sync return err, until it is
// called with nil.
func (m *Memory) SetError(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.injectedErr = err
}

// Syncs returns the number of successful file syncs. Those of Replace and
// SyncFolder don't count.
func (m *Memory) Syncs() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.syncs
}

// Crash returns a copy of the folder as a process would find it after a crash:
// each file has its synced bytes and up to torn of the bytes after them.
func (m *Memory) Crash(torn int) *Memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := New()
	for name, c := range m.files {
		n := min(c.synced+torn, len(c.data))
		next.files[name] = &content{data: append([]byte(nil), c.data[:n]...), synced: n}
	}
	return next
}

// Flip inverts one byte of a file; fromEnd is its offset from the last byte.
func (m *Memory) Flip(name string, fromEnd int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.files[name]
	c.data[len(c.data)-1-fromEnd] ^= 0xff
}

// Append implements disk.Disk.
func (m *Memory) Append(name string) (disk.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.injectedErr != nil {
		return nil, m.injectedErr
	}
	if m.files[name] == nil {
		m.files[name] = &content{}
	}
	return &file{disk: m, content: m.files[name]}, nil
}

// ReadFile implements disk.Disk.
func (m *Memory) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.files[name]
	if c == nil {
		return nil, errors.WithStack(os.ErrNotExist)
	}
	return append([]byte(nil), c.data...), nil
}

// Replace implements disk.Disk.
func (m *Memory) Replace(name string, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.injectedErr != nil {
		return m.injectedErr
	}
	m.files[name] = &content{data: append([]byte(nil), data...), synced: len(data)}
	return nil
}

// Remove implements disk.Disk.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.files, name)
	return nil
}

// List implements disk.Disk.
func (m *Memory) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.files))
	for name := range m.files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

// SyncFolder implements disk.Disk.
func (m *Memory) SyncFolder() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.injectedErr
}

type file struct {
	disk    *Memory
	content *content
}

func (f *file) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.injectedErr != nil {
		return 0, f.disk.injectedErr
	}
	f.content.data = append(f.content.data, p...)
	return len(p), nil
}

func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.injectedErr != nil {
		return f.disk.injectedErr
	}
	f.disk.syncs++
	f.content.synced = len(f.content.data)
	return nil
}

func (f *file) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.content.data = f.content.data[:size]
	f.content.synced = min(f.content.synced, int(size))
	return nil
}

func (f *file) Close() error { return nil }
