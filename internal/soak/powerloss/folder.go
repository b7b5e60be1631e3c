// Package powerloss provides a file system that loses what was not synced when its
// process is killed, as a real one does at a loss of power. It keeps unsynced changes
// in the memory of the process. Some reach the folder below early and in part, as a
// disk may write them at any time.
package powerloss

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"slices"
	"sync"

	"oleanderramp/internal/disk"
)

// temporaryName is the name in the folder below of a file that is being made durable.
const temporaryName = ".powerloss"

// Folder implements disk.FileSystem on another folder, which only holds what survives a
// loss of power. It is safe for concurrent use.
type Folder struct {
	// choose returns a number from 0 to n-1. It selects what reaches the folder below
	// before it is synced.
	choose func(n int) int

	// mu guards the fields below, and the files.
	mu    sync.Mutex
	below disk.FileSystem
	// names holds the files as the process sees them, durable those in the folder
	// below. A file that was renamed may have two durable names.
	names, durable map[string]*file
}

// New returns a folder with the files of the folder below.
func New(below disk.FileSystem, choose func(n int) int) (*Folder, error) {
	names, err := below.Names()
	if err != nil {
		return nil, fmt.Errorf("read folder: %w", err)
	}
	f := &Folder{choose: choose, below: below, durable: make(map[string]*file)}
	for _, name := range names {
		content, err := below.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("read folder: %w", err)
		}
		if name != temporaryName {
			f.durable[name] = &file{folder: f, content: content, unchanged: len(content)}
		}
	}
	f.names = maps.Clone(f.durable)
	return f, nil
}

// Names returns the names of all files, sorted.
func (f *Folder) Names() ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.names)), nil
}

// ReadFile returns the content of a file, also the part that is not synced.
func (f *Folder) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	file, err := f.find(name)
	if err != nil {
		return nil, err
	}
	return slices.Clone(file.content), nil
}

func (f *Folder) find(name string) (*file, error) {
	file := f.names[name]
	if file == nil {
		return nil, &fs.PathError{Op: "find", Path: name, Err: fs.ErrNotExist}
	}
	return file, nil
}

// Create creates a file, or truncates an existing one.
func (f *Folder) Create(name string) (disk.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	existing := f.names[name]
	if existing != nil {
		existing.truncate(0)
		return existing, nil
	}
	created := &file{folder: f}
	f.names[name] = created
	return created, f.writeEarly(name)
}

// Append opens a file for writing at its end.
func (f *Folder) Append(name string) (disk.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	file, err := f.find(name)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// Truncate truncates a file, which is durable once the file is synced.
func (f *Folder) Truncate(name string, size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	file, err := f.find(name)
	if err != nil {
		return err
	}
	file.truncate(int(size))
	return nil
}

// Rename renames a file, which is durable once the folder is synced.
func (f *Folder) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	file, err := f.find(from)
	if err != nil {
		return err
	}
	delete(f.names, from)
	f.names[to] = file
	return errors.Join(f.writeEarly(to), f.writeEarly(from))
}

// Remove removes a file, which is durable once the folder is synced.
func (f *Folder) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.find(name); err != nil {
		return err
	}
	delete(f.names, name)
	return f.writeEarly(name)
}

// SyncFolder makes all names durable.
func (f *Folder) SyncFolder() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.names {
		if err := f.writeName(name); err != nil {
			return err
		}
	}
	for _, name := range slices.Collect(maps.Keys(f.durable)) {
		if err := f.writeName(name); err != nil {
			return err
		}
	}
	return nil
}

// Lock locks the folder below.
func (f *Folder) Lock(name string) (io.Closer, error) { return f.below.Lock(name) }

// writeEarly makes the present state of a name durable, in half of the cases.
func (f *Folder) writeEarly(name string) error {
	if f.choose(2) == 0 {
		return nil
	}
	return f.writeName(name)
}

// writeName makes the present state of a name durable: its file, or that there is none.
func (f *Folder) writeName(name string) error {
	file := f.names[name]
	if file == f.durable[name] {
		return nil
	}
	if file == nil {
		delete(f.durable, name)
		return f.removeBelow(name)
	}
	content, err := f.durableContent(file)
	if err != nil {
		return err
	}
	if err := f.replaceBelow(name, content); err != nil {
		return err
	}
	f.durable[name] = file
	return nil
}

// durableContent returns the content of a file that survives a loss of power.
func (f *Folder) durableContent(of *file) ([]byte, error) {
	names := f.durableNames(of)
	if len(names) == 0 {
		return of.content[:of.unchanged], nil
	}
	return f.below.ReadFile(names[0])
}

func (f *Folder) durableNames(of *file) []string {
	var names []string
	for name, file := range f.durable {
		if file == of {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// removeBelow removes a file from the folder below, from which a process that does not
// use this package may have removed it.
func (f *Folder) removeBelow(name string) error {
	if err := f.below.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// replaceBelow replaces a file in the folder below atomically, so that a kill meanwhile
// leaves the old content or the new one.
func (f *Folder) replaceBelow(name string, content []byte) error {
	temporary, err := f.below.Create(temporaryName)
	if err != nil {
		return err
	}
	_, err = temporary.Write(content)
	if err := cmp.Or(err, temporary.Close()); err != nil {
		return err
	}
	return f.below.Rename(temporaryName, name)
}
