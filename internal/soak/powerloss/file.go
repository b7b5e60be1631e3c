package powerloss

import (
	"errors"
	"slices"
)

// sectorBytes is the size of a disk sector, which is written atomically.
const sectorBytes = 512

// file is a file of a Folder, whose mutex guards it.
type file struct {
	folder  *Folder
	content []byte
	// unchanged is the length of the start of content that was synced and not truncated
	// since.
	unchanged int
}

func (f *file) truncate(size int) {
	f.content = slices.Clone(f.content[:size])
	f.unchanged = min(f.unchanged, size)
}

// Write appends to the file. In half of the cases a part of what is not synced reaches
// the folder below.
func (f *file) Write(b []byte) (int, error) {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	f.content = append(f.content, b...)
	if f.folder.choose(2) == 0 {
		return len(b), nil
	}
	return len(b), f.writeBelow(Torn(f.content, f.unchanged, f.folder.choose))
}

// Sync makes the content durable, but not the name.
func (f *file) Sync() error {
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	if err := f.writeBelow(f.content); err != nil {
		return err
	}
	f.unchanged = len(f.content)
	return nil
}

// Close closes the file. It syncs nothing.
func (f *file) Close() error { return nil }

// writeBelow replaces the unsynced rest of the file by that of content, under each
// durable name. What was synced stays untouched, so that a kill meanwhile leaves it.
func (f *file) writeBelow(content []byte) error {
	for _, name := range f.folder.durableNames(f) {
		if err := f.folder.below.Truncate(name, int64(f.unchanged)); err != nil {
			return err
		}
		below, err := f.folder.below.Append(name)
		if err != nil {
			return err
		}
		_, err = below.Write(content[f.unchanged:])
		if err := errors.Join(err, below.Close()); err != nil {
			return err
		}
	}
	return nil
}

// Torn returns what a loss of power may leave of a file of which the first synced bytes
// are synced: these, followed by a part of the others in which some sectors are zeros.
// choose returns a number from 0 to n-1.
func Torn(content []byte, synced int, choose func(n int) int) []byte {
	if len(content) <= synced {
		return slices.Clone(content)
	}
	torn := slices.Clone(content[:synced+choose(len(content)-synced+1)])
	for start := synced; start < len(torn); {
		end := min(len(torn), (start/sectorBytes+1)*sectorBytes)
		if choose(4) == 0 {
			clear(torn[start:end])
		}
		start = end
	}
	return torn
}
