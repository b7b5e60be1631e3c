package stateserver

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/apex/log"

	"oleanderramp/internal/disk"
	"oleanderramp/internal/event"
)

// OpenStorage opens the data folder of the host. A new folder gets a random
// replica number.
func OpenStorage(folder, host string, l log.Interface) (*disk.Store, error) {
	files, err := disk.OpenFolder(folder)
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	return open(files, host, l)
}

// ReplaceStorage renames the files of a damaged data folder and opens the folder
// as a new one with a new replica number, as after the loss of the disk. The
// renamed files are kept in case the data of a majority of replicas is damaged.
func ReplaceStorage(folder, host string, l log.Interface) (*disk.Store, error) {
	files, err := disk.OpenFolder(folder)
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	renamed, err := disk.RenameDamaged(files)
	if err != nil {
		return nil, fmt.Errorf("rename damaged files: %w", err)
	}
	event.DamagedFilesSetAside.Log(l, event.Fields{"files": renamed})
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
