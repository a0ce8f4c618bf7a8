// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package disk is the seam to a box's data folder. A file lasts only once it
// and its folder are synced; the interface makes both steps visible so that a
// test can fail or lose any of them.
package disk

import (
	"io"
	"os"
	"path/filepath"
	"sort"

	"github.com/pkg/errors"
)

const (
	fileMode   = 0o600
	folderMode = 0o700
)

// File is an open file that can be appended to and made to last.
type File interface {
	io.Writer
	Sync() error
	Close() error
	Truncate(size int64) error
}

// Disk is one flat data folder.
type Disk interface {
	// Append opens a file for writing at its end and creates it when missing.
	Append(name string) (File, error)
	// ReadFile returns the whole content, or an error for which IsNotExist holds.
	ReadFile(name string) ([]byte, error)
	// Replace writes a file so that a crash leaves the old or the new content.
	Replace(name string, data []byte) error
	// Remove deletes a file; a missing one is no error.
	Remove(name string) error
	// List returns the names of all files in order.
	List() ([]string, error)
	// SyncFolder makes creations, renames and removals last.
	SyncFolder() error
}

// IsNotExist tells whether an error says that a file does not exist.
func IsNotExist(err error) bool {
	return os.IsNotExist(errors.Cause(err))
}

// folder is a Disk on a folder of the operating system.
type folder struct {
	path string
}

// Open returns the folder at a path and creates it when missing.
func Open(path string) (Disk, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, errors.Wrapf(err, "cannot create the data folder %s: check its parent's rights", path)
	}
	return &folder{path: path}, nil
}

func (d *folder) Append(name string) (File, error) {
	f, err := os.OpenFile(filepath.Join(d.path, name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	return f, errors.WithStack(err)
}

func (d *folder) ReadFile(name string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(d.path, name))
	return data, errors.WithStack(err)
}

func (d *folder) Replace(name string, data []byte) error {
	temporary := filepath.Join(d.path, name+".tmp")
	if err := writeSynced(temporary, data); err != nil {
		return err
	}
	if err := os.Rename(temporary, filepath.Join(d.path, name)); err != nil {
		return errors.WithStack(err)
	}
	return d.SyncFolder()
}

func writeSynced(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
	if err != nil {
		return errors.WithStack(err)
	}
	defer f.Close()
	if _, err := f.Write(data); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(f.Sync())
}

func (d *folder) Remove(name string) error {
	err := os.Remove(filepath.Join(d.path, name))
	if os.IsNotExist(err) {
		return nil
	}
	return errors.WithStack(err)
}

func (d *folder) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

func (d *folder) SyncFolder() error {
	f, err := os.Open(d.path)
	if err != nil {
		return errors.WithStack(err)
	}
	defer f.Close()
	return errors.WithStack(f.Sync())
}
