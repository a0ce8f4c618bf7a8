// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package wal is a write-ahead log with snapshots in a data folder. Records
// carry a checksum; a torn tail, which a crash can leave, is cut off, while a
// damaged record before intact ones is reported and never skipped.
//
// A generation n is a pair of files: snapshot-n, written whole, and log-n, the
// records after it. Compaction writes generation n+1 and then drops n.
package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"havenwinch.dev/havenwinch/modules/disk"
)

const (
	headerSize     = 8
	maxRecord      = 64 << 20
	snapshotPrefix = "snapshot-"
	logPrefix      = "log-"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged says that stored bytes are not what was written.
type ErrDamaged struct {
	File   string
	Offset int
}

func (e ErrDamaged) Error() string {
	return fmt.Sprintf("file %s is damaged at byte %d: move the data folder aside and start the box empty, so that it is repaired from the others", e.File, e.Offset)
}

// IsErrDamaged tells whether an error is an ErrDamaged.
func IsErrDamaged(err error) bool {
	_, ok := errors.Cause(err).(ErrDamaged)
	return ok
}

// Log is an open write-ahead log. It is not safe for concurrent use; a
// Committer makes it so.
type Log struct {
	disk       disk.Disk
	file       disk.File
	generation uint64
	size       int64
	failed     error
}

// Content is what a log held when it was opened.
type Content struct {
	// Snapshot is nil when none was ever written.
	Snapshot []byte
	Records  [][]byte
	// Torn is the number of bytes that were cut off at the end.
	Torn int
}

// Open reads the newest generation and makes it ready for appending.
func Open(d disk.Disk) (*Log, Content, error) {
	generation, err := newestGeneration(d)
	if err != nil {
		return nil, Content{}, err
	}
	l := &Log{disk: d, generation: generation}
	content, err := l.read()
	if err != nil {
		return nil, Content{}, err
	}
	if err := l.openFile(int64(content.Torn)); err != nil {
		return nil, Content{}, err
	}
	return l, content, nil
}

func newestGeneration(d disk.Disk) (uint64, error) {
	names, err := d.List()
	if err != nil {
		return 0, err
	}
	newest := uint64(0)
	for _, name := range names {
		if !strings.HasPrefix(name, snapshotPrefix) {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimPrefix(name, snapshotPrefix), 10, 64)
		if err == nil && n > newest {
			newest = n
		}
	}
	return newest, nil
}

func (l *Log) read() (Content, error) {
	var content Content
	snapshot, err := l.readSnapshot()
	if err != nil {
		return content, err
	}
	content.Snapshot = snapshot
	data, err := l.disk.ReadFile(l.logName())
	if err != nil && !disk.IsNotExist(err) {
		return content, err
	}
	records, used, err := decode(l.logName(), data)
	if err != nil {
		return content, err
	}
	content.Records = records
	content.Torn = len(data) - used
	l.size = int64(used)
	return content, nil
}

func (l *Log) readSnapshot() ([]byte, error) {
	if l.generation == 0 {
		return nil, nil
	}
	data, err := l.disk.ReadFile(l.snapshotName())
	if err != nil {
		return nil, err
	}
	records, used, err := decode(l.snapshotName(), data)
	if err != nil {
		return nil, err
	}
	if len(records) != 1 || used != len(data) {
		return nil, errors.WithStack(ErrDamaged{File: l.snapshotName()})
	}
	return records[0], nil
}

// decode returns the intact records and the bytes they take. A bad record is
// a torn tail only when nothing intact can follow it: it reaches the end.
func decode(name string, data []byte) ([][]byte, int, error) {
	var records [][]byte
	offset := 0
	for offset < len(data) {
		rest := data[offset:]
		if len(rest) < headerSize {
			return records, offset, nil
		}
		size := int(binary.LittleEndian.Uint32(rest))
		sum := binary.LittleEndian.Uint32(rest[4:])
		if size > len(rest)-headerSize {
			if intactAfter(rest[headerSize:]) {
				return nil, 0, errors.WithStack(ErrDamaged{File: name, Offset: offset})
			}
			return records, offset, nil
		}
		body := rest[headerSize : headerSize+size]
		if checksum(rest[:4], body) != sum {
			if headerSize+size == len(rest) && !intactAfter(rest[headerSize:]) {
				return records, offset, nil
			}
			return nil, 0, errors.WithStack(ErrDamaged{File: name, Offset: offset})
		}
		records = append(records, append([]byte(nil), body...))
		offset += headerSize + size
	}
	return records, offset, nil
}

// scanLimit bounds the search for intact records after a bad one, in bytes.
const scanLimit = 1 << 20

// intactAfter tells whether a whole record stands somewhere in the bytes,
// which would mean that the bad record before it was once complete.
func intactAfter(data []byte) bool {
	for i := 1; i+headerSize < len(data) && i < scanLimit; i++ {
		size := int(binary.LittleEndian.Uint32(data[i:]))
		if size == 0 || size > len(data)-i-headerSize {
			continue
		}
		body := data[i+headerSize : i+headerSize+size]
		if checksum(data[i:i+4], body) == binary.LittleEndian.Uint32(data[i+4:]) {
			return true
		}
	}
	return false
}

func checksum(size, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(size, castagnoli), castagnoli, body)
}

func encode(buffer, record []byte) []byte {
	var header [headerSize]byte
	binary.LittleEndian.PutUint32(header[:], uint32(len(record)))
	binary.LittleEndian.PutUint32(header[4:], checksum(header[:4], record))
	buffer = append(buffer, header[:]...)
	return append(buffer, record...)
}

func (l *Log) openFile(torn int64) error {
	f, err := l.disk.Append(l.logName())
	if err != nil {
		return err
	}
	l.file = f
	if torn > 0 {
		if err := f.Truncate(l.size); err != nil {
			return errors.WithStack(err)
		}
	}
	if err := f.Sync(); err != nil {
		return errors.WithStack(err)
	}
	return l.disk.SyncFolder()
}

// Append writes records and syncs them together. After an error the log takes
// nothing more, since it can't be known what a failed sync has kept.
func (l *Log) Append(records ...[]byte) error {
	if l.failed != nil {
		return l.failed
	}
	var buffer []byte
	for _, record := range records {
		if len(record) > maxRecord {
			return errors.Errorf("a record of %d bytes is over the limit of %d: split it", len(record), maxRecord)
		}
		buffer = encode(buffer, record)
	}
	if _, err := l.file.Write(buffer); err != nil {
		return l.fail(err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(err)
	}
	l.size += int64(len(buffer))
	return nil
}

// Size returns the bytes of the current log file.
func (l *Log) Size() int64 { return l.size }

// Compact replaces everything by a snapshot and the records that follow it.
func (l *Log) Compact(snapshot []byte, records ...[]byte) error {
	if l.failed != nil {
		return l.failed
	}
	next := &Log{disk: l.disk, generation: l.generation + 1}
	var buffer []byte
	for _, record := range records {
		buffer = encode(buffer, record)
	}
	// The log goes first: a generation counts only once its snapshot stands.
	if err := l.disk.Replace(next.logName(), buffer); err != nil {
		return l.fail(err)
	}
	if err := l.disk.Replace(next.snapshotName(), encode(nil, snapshot)); err != nil {
		return l.fail(err)
	}
	next.size = int64(len(buffer))
	if err := next.openFile(0); err != nil {
		return l.fail(err)
	}
	old := *l
	*l = *next
	old.drop()
	return nil
}

func (l *Log) drop() {
	// A leftover file of an old generation is harmless; errors are not.
	_ = l.file.Close()
	_ = l.disk.Remove(l.snapshotName())
	_ = l.disk.Remove(l.logName())
}

func (l *Log) fail(err error) error {
	l.failed = errors.Wrap(err, "the data folder can't be written: free space or replace the disk, then restart the box")
	return l.failed
}

// Close closes the log file.
func (l *Log) Close() error { return l.file.Close() }

func (l *Log) logName() string { return fmt.Sprintf("%s%08d", logPrefix, l.generation) }

func (l *Log) snapshotName() string { return fmt.Sprintf("%s%08d", snapshotPrefix, l.generation) }
