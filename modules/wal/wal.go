// Copyright 2026 The Havenwinch Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package wal is a write-ahead log with snapshots in a data folder. Each record
// carries a checksum. An incomplete record at the end of the file, which a crash
// can leave, is truncated; a corrupted record that intact ones follow is reported
// as an error and never skipped.
//
// Generation n is a pair of files: snapshot-n, which is replaced atomically, and
// log-n, the records after it. Compaction writes generation n+1 and then deletes
// n. Generation 0 has no snapshot.
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
	// headerSize is the size of a record's header in bytes: the length of the body
	// and the checksum of both, four bytes each, little endian.
	headerSize = 8
	// maxRecord is the maximum size of a record in bytes.
	maxRecord      = 64 << 20
	snapshotPrefix = "snapshot-"
	logPrefix      = "log-"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrCorrupted is returned when a stored file differs from what was written.
// Offset is the position of the first corrupted record, in bytes.
type ErrCorrupted struct {
	File   string
	Offset int
}

func (e ErrCorrupted) Error() string {
	return fmt.Sprintf("file %s is corrupted at byte %d: move the data folder aside and restart the box with an empty one, so that the other boxes restore its state", e.File, e.Offset)
}

// IsErrCorrupted reports whether an error is an ErrCorrupted.
func IsErrCorrupted(err error) bool {
	_, ok := errors.Cause(err).(ErrCorrupted)
	return ok
}

// Log is an open write-ahead log. It is not safe for concurrent use; wrap it in a
// Committer for that.
type Log struct {
	disk       disk.Disk
	file       disk.File
	generation uint64
	// size is the size of the log file in bytes.
	size int64
	// failed is the first write error; the log refuses writes after it.
	failed error
}

// Content is the content of a log at the time it was opened.
type Content struct {
	// Snapshot is nil when the log was never compacted.
	Snapshot []byte
	// Records are the records after the snapshot, oldest first.
	Records [][]byte
	// Torn is the number of bytes of an incomplete record that were truncated.
	Torn int
}

// Open reads the newest generation and opens it for appending. It returns an
// ErrCorrupted when a file is corrupted.
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
	if disk.IsNotExist(err) && l.generation > 0 {
		// Compact writes the log before the snapshot.
		return content, errors.WithStack(ErrCorrupted{File: l.logName()})
	}
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
		return nil, errors.WithStack(ErrCorrupted{File: l.snapshotName()})
	}
	return records[0], nil
}

// decode returns the intact records and their size in bytes. An invalid record
// counts as an incomplete write only when it reaches the end of the file and no
// intact record follows; otherwise decode returns an ErrCorrupted.
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
			if containsRecord(rest[headerSize:]) {
				return nil, 0, errors.WithStack(ErrCorrupted{File: name, Offset: offset})
			}
			return records, offset, nil
		}
		body := rest[headerSize : headerSize+size]
		if checksum(rest[:4], body) != sum {
			if headerSize+size == len(rest) && !containsRecord(rest[headerSize:]) {
				return records, offset, nil
			}
			return nil, 0, errors.WithStack(ErrCorrupted{File: name, Offset: offset})
		}
		records = append(records, append([]byte(nil), body...))
		offset += headerSize + size
	}
	return records, offset, nil
}

// maxTailScan limits the search for intact records after an invalid one, in bytes.
const maxTailScan = 1 << 20

// containsRecord reports whether an intact record starts anywhere in data. That
// would mean that the invalid record before it was once complete, so it is
// corrupted and not an incomplete write.
func containsRecord(data []byte) bool {
	for i := 1; i+headerSize < len(data) && i < maxTailScan; i++ {
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

// encode appends a record with its header to buffer.
func encode(buffer, record []byte) []byte {
	var header [headerSize]byte
	binary.LittleEndian.PutUint32(header[:], uint32(len(record)))
	binary.LittleEndian.PutUint32(header[4:], checksum(header[:4], record))
	buffer = append(buffer, header[:]...)
	return append(buffer, record...)
}

// openFile opens the log file for appending and truncates torn bytes at its end.
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

// Append writes records with a single sync. After a write or sync error the log
// refuses further writes, since it is unknown what a failed sync has stored.
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

// Size returns the size of the current log file in bytes.
func (l *Log) Size() int64 { return l.size }

// Compact replaces the whole log by a snapshot and the records that follow it, in
// a new generation.
func (l *Log) Compact(snapshot []byte, records ...[]byte) error {
	if l.failed != nil {
		return l.failed
	}
	next := &Log{disk: l.disk, generation: l.generation + 1}
	var buffer []byte
	for _, record := range records {
		buffer = encode(buffer, record)
	}
	// The log is written first: a generation is used only once its snapshot exists.
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
	old.removeFiles()
	return nil
}

func (l *Log) removeFiles() {
	// Errors are ignored: Open reads the newest generation only, so a leftover file
	// does no harm, while failing a compaction that succeeded would.
	_ = l.file.Close()
	_ = l.disk.Remove(l.snapshotName())
	_ = l.disk.Remove(l.logName())
}

// fail records err as the reason why the log refuses further writes.
func (l *Log) fail(err error) error {
	l.failed = errors.Wrap(err, "the data folder can't be written: free space or replace the disk, then restart the box")
	return l.failed
}

func (l *Log) Close() error { return l.file.Close() }

func (l *Log) logName() string { return fmt.Sprintf("%s%08d", logPrefix, l.generation) }

func (l *Log) snapshotName() string { return fmt.Sprintf("%s%08d", snapshotPrefix, l.generation) }
