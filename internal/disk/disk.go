// Package disk stores the replicated log in the files of a data folder: the
// identity of the replica, log segments, and the latest snapshot.
//
// Every record is synced before the call that wrote it returns. When the
// folder is opened, a record that a crash left incomplete at the end of the log
// is truncated; any other content that can't be read is reported as a
// DamageError.
//
// Each file's header holds the version of its format. Files of an unknown
// version are rejected with a VersionError. A program with a new format version
// must read the earlier ones, and writes its own version from the next segment
// and snapshot on.
package disk

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/raft"
	"oleanderramp/internal/wire"
)

const (
	lockName        = "lock"
	identityName    = "identity"
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"

	defaultSegmentBytes = 8 << 20
)

// Options holds the parameters of a store.
type Options struct {
	// Host is the name of the daemon's host. It is stored in a new folder, and
	// opening the folder for another host fails.
	Host string
	// NewReplica is the replica number to store in a new folder. It must be
	// random and not 0.
	NewReplica uint64
	// SegmentBytes is the size from which the next record starts a new
	// segment; 8 MiB if 0.
	SegmentBytes int64
	// NoSync disables all syncs, so that a crash of the host loses data. It is
	// intended for benchmarks only.
	NoSync bool
}

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	fs       FileSystem
	options  Options
	lock     io.Closer
	identity raft.Member
	stored   raft.Stored
	// segments is sorted by sequence number; file is the last one, opened for
	// writing.
	segments []segment
	file     File
	// sequence is the sequence number of the next record.
	sequence uint64
	// snapshotIndex is the index of the last entry in the stored snapshot; 0 if
	// there is none.
	snapshotIndex uint64
	// failed is the error of the first failed write that can't be repeated;
	// every later write returns it.
	failed error
}

// Open locks the folder, creates the identity if the folder is new, and reads
// the log. Its error may wrap ErrLocked, *DamageError, *VersionError or
// *WriteError.
func Open(fs FileSystem, options Options) (*Store, error) {
	if options.SegmentBytes == 0 {
		options.SegmentBytes = defaultSegmentBytes
	}
	if options.Host == "" || options.NewReplica == 0 {
		return nil, errors.New("open data folder: host or replica number is missing")
	}
	lock, err := fs.Lock(lockName)
	if err != nil {
		return nil, fmt.Errorf("lock data folder: %w", err)
	}
	s := &Store{fs: fs, options: options, lock: lock}
	if err := s.recover(); err != nil {
		lock.Close()
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	return s, nil
}

// Identity returns the member that this folder belongs to.
func (s *Store) Identity() raft.Member { return s.identity }

// Load returns the state that was read when the folder was opened. The store
// then drops its copy, so that a second call returns an empty state.
func (s *Store) Load() raft.Stored {
	stored := s.stored
	s.stored = raft.Stored{}
	return stored
}

// Save stores and syncs the state, entries and snapshot of one raft Ready. A
// snapshot that is not nil replaces the whole log; the entries then replace the
// stored log from the index of the first one on. After an error that is not
// retryable, all later writes fail with ErrFailed.
func (s *Store) Save(state raft.HardState, entries []raft.Entry, snapshot *raft.Snapshot) error {
	if s.failed != nil {
		return s.failed
	}
	record := &wire.LogRecord{
		HardState: &wire.LogHardState{
			Term:   state.Term,
			Vote:   raft.MemberToWire(state.Vote),
			Commit: state.Commit,
		},
		Entries: raft.EntriesToWire(entries),
	}
	if snapshot != nil {
		if err := s.writeSnapshot(*snapshot); err != nil {
			return s.fail("write snapshot", err)
		}
		record.Reset_ = &wire.LogPosition{Index: snapshot.Index, Term: snapshot.Term}
	}
	if err := s.writeRecord(record); err != nil {
		return s.fail("write log", err)
	}
	return nil
}

// Compact stores a snapshot of the applied log and removes the segments whose
// entries it covers.
func (s *Store) Compact(snapshot raft.Snapshot) error {
	if s.failed != nil {
		return s.failed
	}
	if err := s.writeSnapshot(snapshot); err != nil {
		return s.fail("write snapshot", err)
	}
	if err := s.removeSegments(snapshot.Index); err != nil {
		return s.fail("remove old log", err)
	}
	return nil
}

func (s *Store) fail(operation string, err error) error {
	var full *fullError
	failure := &WriteError{operation: operation, err: err, retryable: errors.As(err, &full)}
	if !failure.retryable {
		s.failed = fmt.Errorf("%w: %w", ErrFailed, failure)
	}
	return failure
}

// Err returns the error of the failed write after which the store rejects all
// writes, or nil.
func (s *Store) Err() error { return s.failed }

// Close closes the last segment and unlocks the folder.
func (s *Store) Close() error {
	var err error
	if s.file != nil {
		err = s.file.Close()
	}
	return errors.Join(err, s.lock.Close())
}

func (s *Store) syncFile(file File) error {
	if s.options.NoSync {
		return nil
	}
	return file.Sync()
}

func (s *Store) syncFolder() error {
	if s.options.NoSync {
		return nil
	}
	return s.fs.SyncFolder()
}

// replaceFile replaces a file atomically: it writes and syncs a temporary file
// and renames it.
func (s *Store) replaceFile(name string, content []byte) error {
	temporary := name + temporarySuffix
	if err := s.createFile(temporary, content); err != nil {
		return err
	}
	if err := s.fs.Rename(temporary, name); err != nil {
		return err
	}
	return s.syncFolder()
}

// createFile writes and syncs a new file.
func (s *Store) createFile(name string, content []byte) error {
	file, err := s.openNewFile(name, content)
	if err != nil {
		return err
	}
	return file.Close()
}

// openNewFile writes and syncs a new file, and returns it open for writing.
func (s *Store) openNewFile(name string, content []byte) (File, error) {
	file, err := s.fs.Create(name)
	if err != nil {
		return nil, undoFullWrite(err, func() error { return nil })
	}
	if _, err := file.Write(content); err != nil {
		return nil, undoFullWrite(errors.Join(err, file.Close()), func() error { return s.removeFile(name) })
	}
	if err := s.syncFile(file); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return file, nil
}

func (s *Store) removeFile(name string) error {
	if err := s.fs.Remove(name); err != nil {
		return err
	}
	return s.syncFolder()
}

// namesWithPrefix returns the names that have the prefix, in the order given.
func namesWithPrefix(names []string, prefix string) []string {
	var found []string
	for _, name := range names {
		if strings.HasPrefix(name, prefix) {
			found = append(found, name)
		}
	}
	return found
}

func marshal(m proto.Message) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}
