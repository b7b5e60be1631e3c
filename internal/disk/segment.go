package disk

import (
	"errors"
	"fmt"

	"oleanderramp/internal/wire"
)

// segment is a file of log records.
type segment struct {
	name string
	// size is the length in bytes.
	size int64
	// lastIndex is the highest index of its entries; 0 if it has none.
	lastIndex uint64
}

func segmentName(sequence uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, sequence) }

// writeRecord appends a record to the log and syncs it.
func (s *Store) writeRecord(record *wire.LogRecord) error {
	payload, err := marshal(record)
	if err != nil {
		return err
	}
	if len(payload) > maxRecordSize {
		return errors.New("record too large")
	}
	content := appendRecord(nil, s.sequence, payload)
	if s.file == nil || s.currentSegment().size >= s.options.SegmentBytes {
		err = s.startSegment(content)
	} else {
		err = s.appendToSegment(content)
	}
	if err != nil {
		return err
	}
	s.sequence++
	current := s.currentSegment()
	if n := len(record.Entries); n > 0 {
		current.lastIndex = max(current.lastIndex, record.Entries[n-1].GetIndex())
	}
	return nil
}

func (s *Store) currentSegment() *segment { return &s.segments[len(s.segments)-1] }

func (s *Store) appendToSegment(record []byte) error {
	if _, err := s.file.Write(record); err != nil {
		return undoFullWrite(err, s.truncateSegment)
	}
	s.currentSegment().size += int64(len(record))
	return s.syncFile(s.file)
}

// truncateSegment removes what a failed write left at the end of the current
// segment. The sync keeps a crash from mixing it with the next record.
func (s *Store) truncateSegment() error {
	current := s.currentSegment()
	if err := s.fs.Truncate(current.name, current.size); err != nil {
		return err
	}
	return s.syncFile(s.file)
}

// startSegment creates a segment that holds the record. A segment always holds
// at least one record, so that the last segment always holds the hard state.
func (s *Store) startSegment(record []byte) error {
	name := segmentName(s.sequence)
	content := append(appendFileHeader(nil, segmentMagic, s.sequence), record...)
	file, err := s.openNewFile(name, content)
	if err != nil {
		return err
	}
	if err := s.syncFolder(); err != nil {
		file.Close()
		return err
	}
	if s.file != nil {
		s.file.Close()
	}
	s.file = file
	s.segments = append(s.segments, segment{name: name, size: int64(len(content))})
	return nil
}

// removeSegments removes the oldest segments, as long as they hold no entry
// above index. The last segment is kept.
func (s *Store) removeSegments(index uint64) error {
	removed := 0
	for removed < len(s.segments)-1 && s.segments[removed].lastIndex <= index {
		if err := s.fs.Remove(s.segments[removed].name); err != nil {
			return err
		}
		removed++
		// Each removal is synced before the next one, so that a crash leaves no
		// gap between segments.
		if err := s.syncFolder(); err != nil {
			return err
		}
	}
	s.segments = s.segments[removed:]
	return nil
}
