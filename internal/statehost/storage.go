package statehost

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/apex/log"

	"oleanderramp/internal/disk"
	"oleanderramp/internal/event"
)

// OpenStorage opens the data folder of the host, or makes it with a new
// replica number.
func OpenStorage(folder, host string, l log.Interface) (*disk.Store, error) {
	files, err := disk.OpenFolder(folder)
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	return open(files, host, l)
}

// ReplaceStorage sets the damaged files of the data folder aside, and opens it
// with a new replica number, as after the loss of the disk. The files are kept
// for the case that a majority is damaged.
func ReplaceStorage(folder, host string, l log.Interface) (*disk.Store, error) {
	files, err := disk.OpenFolder(folder)
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	aside, err := disk.SetAside(files)
	if err != nil {
		return nil, fmt.Errorf("set damaged files aside: %w", err)
	}
	event.DamagedFilesSetAside.Log(l, event.Fields{"files": aside})
	return open(files, host, l)
}

func open(files disk.FileSystem, host string, l log.Interface) (*disk.Store, error) {
	storage, err := disk.Open(files, disk.Options{Host: host, NewReplica: rand.Uint64() | 1})
	var damage *disk.DamageError
	if errors.As(err, &damage) {
		event.DataFolderDamaged.Log(l, event.Fields{"error": err.Error()})
	}
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	return storage, nil
}
