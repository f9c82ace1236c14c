package wal

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gladepick/internal/vfs/memfs"
)

// model holds what a disk must contain: the appended records, and how many of them must survive a crash.
type model struct {
	disk    *memfs.Disk
	log     *Log
	records []string
	synced  int // number of records that a successful Sync or snapshot covers
}

// snapshotData returns the data of a snapshot that covers the first count records.
func (m *model) snapshotData(count int) string {
	joined := ""
	for _, record := range m.records[:count] {
		joined += record + "\n"
	}
	return joined
}

// reopen opens the log and checks that it holds a prefix of the appended records that includes all synced ones.
func (m *model) reopen(t *rapid.T) {
	log, found := openLog(t, m.disk.Mount(), 150)
	got := string(found.snapshot)
	for _, record := range found.records {
		got += string(record) + "\n"
	}
	count := m.synced
	for count < len(m.records) && m.snapshotData(count) != got {
		count++
	}
	assert.Equal(t, got, m.snapshotData(count))
	for i, position := range found.positions {
		record, err := log.Read(position)
		assert.NilError(t, err)
		assert.Equal(t, string(record), string(found.records[i]))
	}
	m.log, m.records, m.synced = log, m.records[:count], count
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"append": func(t *rapid.T) {
			record := rapid.StringMatching("[a-z]{0,60}").Draw(t, "record")
			appendRecord(t, m.log, record)
			m.records = append(m.records, record)
		},
		"sync": func(t *rapid.T) {
			syncLog(t, m.log)
			m.synced = len(m.records)
		},
		"snapshot": func(t *rapid.T) {
			assert.NilError(t, m.log.WriteSnapshot([]byte(m.snapshotData(len(m.records)))))
			m.synced = len(m.records)
		},
		"remove": func(t *rapid.T) {
			assert.NilError(t, m.log.RemoveSegments(rapid.Uint64Range(0, 20).Draw(t, "before")))
		},
		"full": func(t *rapid.T) {
			m.disk.SetFull(true)
			if m.log.Sync(context.Background()) == nil {
				m.synced = len(m.records)
			}
			m.disk.SetFull(false)
		},
		"close":      func(t *rapid.T) { m.close(t) },
		"crash":      func(t *rapid.T) { m.disk.Crash(); m.reopen(t) },
		"power loss": func(t *rapid.T) { m.disk.PowerLoss(); m.reopen(t) },
		"interrupt":  func(t *rapid.T) { m.interrupt(t) },
	}
}

func (m *model) close(t *rapid.T) {
	assert.NilError(t, m.log.Close())
	m.synced = len(m.records)
	m.reopen(t)
}

// interrupt simulates a process crash or a power loss at a random step of several syncs and snapshots.
func (m *model) interrupt(t *rapid.T) {
	m.disk.Crash()
	m.reopen(t)
	steps := rapid.IntRange(0, 20).Draw(t, "steps")
	interrupted := &interruptedFS{FS: m.disk.Mount(), interrupt: m.disk.PowerLoss, remaining: steps}
	if rapid.Bool().Draw(t, "only the program") {
		interrupted.interrupt = m.disk.Crash
	}
	found := &recoveredData{}
	log, err := Open(Options{FS: interrupted, SegmentBytes: 150}, found.restore, found.replay)
	if err == nil {
		for range 3 {
			if _, err := log.Append([]byte("interrupted")); err == nil {
				m.records = append(m.records, "interrupted")
			}
			m.syncOrSnapshot(t, log)
		}
	}
	interrupted.interrupt()
	m.reopen(t)
}

func (m *model) syncOrSnapshot(t *rapid.T, log *Log) {
	count := len(m.records)
	var err error
	if rapid.Bool().Draw(t, "snapshot") {
		err = log.WriteSnapshot([]byte(m.snapshotData(count)))
	} else {
		err = log.Sync(context.Background())
	}
	if err == nil {
		m.synced = count
	}
}

// TestPowerLossKeepsEverythingSynced checks random sequences of operations, crashes and power losses against the model.
func TestPowerLossKeepsEverythingSynced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{disk: memfs.New(rapid.Uint64().Draw(t, "seed"))}
		m.reopen(t)
		t.Repeat(m.actions())
	})
}
