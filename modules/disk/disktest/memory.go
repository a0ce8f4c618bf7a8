// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package disktest is a data folder in memory for tests. It keeps what was
// written apart from what was synced, so that a crash can lose the difference,
// and it can be told to fail.
package disktest

import (
	"os"
	"sort"
	"sync"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/modules/disk"
)

// Memory is a Disk in memory.
type Memory struct {
	mu      sync.Mutex
	files   map[string]*content
	failing error
	syncs   int
}

type content struct {
	data   []byte
	synced int
}

// New returns an empty folder.
func New() *Memory {
	return &Memory{files: map[string]*content{}}
}

// Fail makes every later write and sync return an error; nil ends it.
func (m *Memory) Fail(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failing = err
}

// Syncs returns how many file syncs took place.
func (m *Memory) Syncs() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.syncs
}

// Crash returns what a new process would find: synced bytes, and of the bytes
// that were not synced the first torn ones.
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

// Flip inverts one byte of a file, counted from its end.
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
	if m.failing != nil {
		return nil, m.failing
	}
	if m.files[name] == nil {
		m.files[name] = &content{}
	}
	return &file{owner: m, content: m.files[name]}, nil
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
	if m.failing != nil {
		return m.failing
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
	return m.failing
}

type file struct {
	owner   *Memory
	content *content
}

func (f *file) Write(p []byte) (int, error) {
	f.owner.mu.Lock()
	defer f.owner.mu.Unlock()
	if f.owner.failing != nil {
		return 0, f.owner.failing
	}
	f.content.data = append(f.content.data, p...)
	return len(p), nil
}

func (f *file) Sync() error {
	f.owner.mu.Lock()
	defer f.owner.mu.Unlock()
	if f.owner.failing != nil {
		return f.owner.failing
	}
	f.owner.syncs++
	f.content.synced = len(f.content.data)
	return nil
}

func (f *file) Truncate(size int64) error {
	f.owner.mu.Lock()
	defer f.owner.mu.Unlock()
	f.content.data = f.content.data[:size]
	f.content.synced = min(f.content.synced, int(size))
	return nil
}

func (f *file) Close() error { return nil }
