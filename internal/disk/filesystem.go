package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FileSystem is a folder of files without subfolders. Written content survives
// a crash only after File.Sync, and created, renamed and removed names only
// after SyncFolder.
type FileSystem interface {
	// Names returns the names of all files, sorted.
	Names() ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create creates a file, or truncates an existing one, and opens it for
	// writing.
	Create(name string) (File, error)
	// Append opens a file for writing at its end.
	Append(name string) (File, error)
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	SyncFolder() error
	// Lock locks the folder for this process until the result is closed. It
	// returns ErrLocked if the folder is locked already.
	Lock(name string) (io.Closer, error)
}

// File is a file that is open for writing.
type File interface {
	io.Writer
	io.Closer
	Sync() error
}

const (
	filePermissions   = 0o600
	folderPermissions = 0o700
)

// folder implements FileSystem on a folder of the operating system.
type folder struct {
	path string
}

// OpenFolder returns the FileSystem of the folder at path, which is created if
// it doesn't exist.
func OpenFolder(path string) (FileSystem, error) {
	if err := os.MkdirAll(path, folderPermissions); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	return folder{path: path}, nil
}

func (f folder) join(name string) string { return filepath.Join(f.path, name) }

func (f folder) Names() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

func (f folder) ReadFile(name string) ([]byte, error) { return os.ReadFile(f.join(name)) }

func (f folder) Create(name string) (File, error) {
	return os.OpenFile(f.join(name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, filePermissions)
}

func (f folder) Append(name string) (File, error) {
	return os.OpenFile(f.join(name), os.O_WRONLY|os.O_APPEND, filePermissions)
}

func (f folder) Truncate(name string, size int64) error { return os.Truncate(f.join(name), size) }

func (f folder) Rename(from, to string) error { return os.Rename(f.join(from), f.join(to)) }

func (f folder) Remove(name string) error { return os.Remove(f.join(name)) }

func (f folder) SyncFolder() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

func (f folder) Lock(name string) (io.Closer, error) {
	file, err := os.OpenFile(f.join(name), os.O_RDWR|os.O_CREATE, filePermissions)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		file.Close()
		return nil, ErrLocked
	}
	if err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}
