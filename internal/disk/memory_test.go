package disk_test

import (
	"io"
	"io/fs"
	"maps"
	"slices"
	"syscall"

	"oleanderramp/internal/disk"
	"oleanderramp/internal/soak/powerloss"
)

// memoryFile is a file in memory with the content that survives a crash.
type memoryFile struct {
	content []byte
	synced  []byte
}

// memoryFolder is a FileSystem in memory that injects write errors and crashes.
type memoryFolder struct {
	files map[string]*memoryFile
	// durable holds the names that survive a crash.
	durable map[string]*memoryFile
	locked  bool
	// failIn is the number of changes until one fails as on a full disk; 0 for
	// never.
	failIn int
	// partial is the number of bytes that a failed write still writes.
	partial int
	// ignoreSync makes all syncs have no effect.
	ignoreSync bool
}

func newMemoryFolder() *memoryFolder {
	return &memoryFolder{files: make(map[string]*memoryFile), durable: make(map[string]*memoryFile)}
}

func (m *memoryFolder) shouldFail() bool {
	if m.failIn == 0 {
		return false
	}
	m.failIn--
	return m.failIn == 0
}

// kill ends the process that has the folder open. Nothing is lost, and what was not
// synced is still not.
func (m *memoryFolder) kill() {
	m.locked = false
	m.failIn = 0
}

// crash discards a random part of what was not synced. choose returns a number
// from 0 to n-1.
func (m *memoryFolder) crash(choose func(n int) int) {
	names := slices.Collect(maps.Keys(m.files))
	names = append(names, slices.Collect(maps.Keys(m.durable))...)
	slices.Sort(names)
	kept := make(map[string]*memoryFile)
	for _, name := range slices.Compact(names) {
		source := m.durable
		if choose(2) == 0 {
			source = m.files
		}
		if file := source[name]; file != nil {
			kept[name] = file
		}
	}
	for _, name := range slices.Sorted(maps.Keys(kept)) {
		file := kept[name]
		file.content = file.afterCrash(choose)
		file.synced = slices.Clone(file.content)
	}
	m.files = kept
	m.durable = maps.Clone(kept)
	m.kill()
}

// afterCrash returns the synced content, followed by a part of the unsynced
// content in which some sectors are zeros.
func (f *memoryFile) afterCrash(choose func(n int) int) []byte {
	if len(f.content) <= len(f.synced) {
		return slices.Clone(f.synced)
	}
	return powerloss.Torn(f.content, len(f.synced), choose)
}

func (m *memoryFolder) Names() ([]string, error) {
	return slices.Sorted(maps.Keys(m.files)), nil
}

func (m *memoryFolder) ReadFile(name string) ([]byte, error) {
	file := m.files[name]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(file.content), nil
}

func (m *memoryFolder) Create(name string) (disk.File, error) {
	if m.shouldFail() {
		return nil, syscall.ENOSPC
	}
	m.files[name] = &memoryFile{}
	return &memoryHandle{folder: m, file: m.files[name]}, nil
}

func (m *memoryFolder) Append(name string) (disk.File, error) {
	if m.files[name] == nil {
		return nil, fs.ErrNotExist
	}
	return &memoryHandle{folder: m, file: m.files[name]}, nil
}

func (m *memoryFolder) Truncate(name string, size int64) error {
	if m.shouldFail() {
		return syscall.EIO
	}
	m.files[name].content = m.files[name].content[:size]
	return nil
}

func (m *memoryFolder) Rename(from, to string) error {
	if m.shouldFail() {
		return syscall.EIO
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memoryFolder) Remove(name string) error {
	if m.shouldFail() {
		return syscall.EIO
	}
	delete(m.files, name)
	return nil
}

func (m *memoryFolder) SyncFolder() error {
	if m.shouldFail() {
		return syscall.EIO
	}
	if !m.ignoreSync {
		m.durable = maps.Clone(m.files)
	}
	return nil
}

func (m *memoryFolder) Lock(string) (io.Closer, error) {
	if m.locked {
		return nil, disk.ErrLocked
	}
	m.locked = true
	return unlocker{m}, nil
}

type unlocker struct{ folder *memoryFolder }

func (u unlocker) Close() error {
	u.folder.locked = false
	return nil
}

type memoryHandle struct {
	folder *memoryFolder
	file   *memoryFile
}

func (h *memoryHandle) Write(b []byte) (int, error) {
	if h.folder.shouldFail() {
		n := min(h.folder.partial, len(b))
		h.file.content = append(h.file.content, b[:n]...)
		return n, syscall.ENOSPC
	}
	h.file.content = append(h.file.content, b...)
	return len(b), nil
}

func (h *memoryHandle) Sync() error {
	if h.folder.shouldFail() {
		return syscall.EIO
	}
	if !h.folder.ignoreSync {
		h.file.synced = slices.Clone(h.file.content)
	}
	return nil
}

func (h *memoryHandle) Close() error { return nil }
