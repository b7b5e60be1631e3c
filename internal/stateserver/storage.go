package stateserver

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/apex/log"

	"oleanderramp/internal/disk"
	"oleanderramp/internal/event"
)

// ReplaceStorage renames the files of a damaged data folder and opens the folder
// as a new one with a new replica number, as after the loss of the disk. The
// renamed files are kept in case the data of a majority of replicas is damaged.
func ReplaceStorage(files disk.FileSystem, options disk.Options, l log.Interface) (*disk.Store, error) {
	renamed, err := disk.RenameDamaged(files)
	if err != nil {
		return nil, fmt.Errorf("rename damaged files: %w", err)
	}
	event.DamagedFilesSetAside.Log(l, event.Fields{"files": renamed})
	return OpenStorage(files, options, l)
}

// OpenStorage opens the data folder of the host in the options. A new folder gets
// a random replica number.
func OpenStorage(files disk.FileSystem, options disk.Options, l log.Interface) (*disk.Store, error) {
	options.NewReplica = rand.Uint64() | 1
	storage, err := disk.Open(files, options)
	var damage *disk.DamageError
	if errors.As(err, &damage) {
		event.DataFolderDamaged.Log(l, event.Fields{"error": err.Error()})
	}
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	return storage, nil
}
