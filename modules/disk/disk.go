// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package disk abstracts the file access to a box's data folder. A file is durable
// only once both the file and its folder are synced. The interface has both as
// separate steps, so that a test can make either fail or lose its effect.
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

// File is a file that is open for appending. Written data is durable after Sync.
type File interface {
	io.Writer
	Sync() error
	Close() error
	Truncate(size int64) error
}

// Disk is a data folder without subfolders.
type Disk interface {
	// Append opens a file for appending and creates it when it does not exist.
	Append(name string) (File, error)
	// ReadFile returns the whole content. IsNotExist holds for its error when the
	// file does not exist.
	ReadFile(name string) ([]byte, error)
	// Replace writes a file atomically: after a crash it has either the old or the
	// new content. When it returns, the new content is durable.
	Replace(name string, data []byte) error
	// Remove deletes a file. It returns nil when the file does not exist.
	Remove(name string) error
	// List returns the sorted names of all files.
	List() ([]string, error)
	// SyncFolder makes file creations, renames and removals durable.
	SyncFolder() error
}

// IsNotExist reports whether an error means that a file does not exist.
func IsNotExist(err error) bool {
	return os.IsNotExist(errors.Cause(err))
}

// folder implements Disk on a folder of the file system.
type folder struct {
	path string
}

// Open returns the folder at a path and creates it when it does not exist.
func Open(path string) (Disk, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, errors.Wrapf(err, "cannot create the data folder %s: check the permissions of its parent folder", path)
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
	tmp := filepath.Join(d.path, name+".tmp")
	if err := writeSynced(tmp, data); err != nil {
		return err
	}
	if err := os.Rename(tmp, filepath.Join(d.path, name)); err != nil {
		return errors.WithStack(err)
	}
	return d.SyncFolder()
}

// writeSynced writes a file and syncs it, but not its folder.
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
