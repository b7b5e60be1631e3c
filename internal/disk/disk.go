// Package disk keeps the replicated log in the files of a data folder: the
// identity of the replica, log segments, and the latest snapshot.
//
// Every record is synced before the call that wrote it returns. When the
// folder is opened, the remains of a record that a crash interrupted are cut
// off; anything else that can't be read is refused with a DamageError.
//
// Each file's header holds the version of its format. A program refuses versions
// that it doesn't know. One with a new version reads the earlier ones, and
// writes its own from the next segment and snapshot on.
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
	// Host is the name of the daemon. A folder keeps the host that made it.
	Host string
	// NewReplica becomes the replica number when the folder is new. It must be
	// random and not 0.
	NewReplica uint64
	// SegmentBytes is the size at which a new segment is begun.
	SegmentBytes int64
	// NoSync leaves out all syncs: a crash of the host loses data. For
	// measurements only.
	NoSync bool
}

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	fs       FileSystem
	options  Options
	lock     io.Closer
	identity raft.Member
	stored   raft.Stored
	// segments is sorted; the last one is open as file.
	segments []segment
	file     File
	// sequence is the number of the next record.
	sequence uint64
	// snapshotIndex is that of the snapshot on disk; 0 for none.
	snapshotIndex uint64
	// failed is set by the first write that failed.
	failed error
}

// Open locks the folder, makes the identity when the folder is new, and reads
// the log. It returns ErrLocked, *DamageError, *VersionError or *WriteError
// when that is the cause.
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

// Load returns what was stored when the folder was opened. It hands it out
// once.
func (s *Store) Load() raft.Stored {
	stored := s.stored
	s.stored = raft.Stored{}
	return stored
}

// Save stores what one Ready of the log asks for and syncs it: entries replace
// the stored log from the first one's index on; a snapshot that is not nil
// replaces the whole log before that. After an error the store is failed.
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

// Compact stores a snapshot of the applied log and removes the segments that
// it makes superfluous.
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
	failure := &WriteError{operation: operation, err: err}
	s.failed = fmt.Errorf("%w: %w", ErrFailed, failure)
	return failure
}

// Err returns why the store accepts nothing any more, or nil.
func (s *Store) Err() error { return s.failed }

// Close releases the folder.
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

// replaceFile writes a file whole or not at all.
func (s *Store) replaceFile(name string, content []byte) error {
	temporary := name + temporarySuffix
	file, err := s.fs.Create(temporary)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = s.syncFile(file)
	}
	if err := errors.Join(err, file.Close()); err != nil {
		return err
	}
	if err := s.fs.Rename(temporary, name); err != nil {
		return err
	}
	return s.syncFolder()
}

// namesWithPrefix returns the names with the prefix, sorted.
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
