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
	storage, err := disk.Open(files, disk.Options{Host: host, NewReplica: rand.Uint64() | 1})
	var damage *disk.DamageError
	if errors.As(err, &damage) {
		event.LogDamaged.Log(l, event.Fields{"error": err.Error()})
	}
	if err != nil {
		return nil, fmt.Errorf("open data folder: %w", err)
	}
	return storage, nil
}
