package site

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/event"
	"oleanderramp/internal/wire"
)

const (
	// endpointsFileName is the file in the data folder that stores the
	// endpoints.
	endpointsFileName = "endpoints"
	// savePeriod is the interval between two checks for unsaved changes.
	savePeriod = time.Second
	// savedEndpointTTL is how long after its last announcement a saved endpoint
	// is still restored.
	savedEndpointTTL = 10 * time.Second
	// restoreWait bounds how long the saved endpoints wait for another control host,
	// which may know of endpoints that left while this host was down.
	restoreWait = 400 * time.Millisecond
	// leaveSaveWait bounds how long the answer to an endpoint that leaves waits until
	// that is saved.
	leaveSaveWait = 200 * time.Millisecond
)

// saveEndpoints writes the endpoints atomically: after a power failure, either
// the previous file or the new one is intact.
func saveEndpoints(folder string, now time.Time, entries []directory.Entry) error {
	data, err := proto.Marshal(&wire.SavedEndpoints{SavedUnixMs: now.UnixMilli(), Endpoints: entriesToWire(now, entries)})
	if err != nil {
		return fmt.Errorf("save endpoints: %w", err)
	}
	path := filepath.Join(folder, endpointsFileName)
	temporary := path + ".tmp"
	file, err := os.Create(temporary)
	if err != nil {
		return fmt.Errorf("save endpoints: %w", err)
	}
	_, err = file.Write(data)
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return fmt.Errorf("save endpoints: %w", err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fmt.Errorf("save endpoints: %w", err)
	}
	return syncFolder(folder)
}

// syncFolder makes a rename in the folder durable.
func syncFolder(folder string) error {
	dir, err := os.Open(folder)
	if err != nil {
		return fmt.Errorf("save endpoints: %w", err)
	}
	if err := errors.Join(dir.Sync(), dir.Close()); err != nil {
		return fmt.Errorf("save endpoints: %w", err)
	}
	return nil
}

// loadEndpoints returns the recently saved endpoints, and none if there is no
// file.
func loadEndpoints(l log.Interface, folder string, now time.Time) ([]directory.Entry, error) {
	data, err := os.ReadFile(filepath.Join(folder, endpointsFileName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var saved wire.SavedEndpoints
	if err == nil {
		err = proto.Unmarshal(data, &saved)
	}
	if err != nil {
		return nil, fmt.Errorf("read saved endpoints: %w", err)
	}
	age := now.Sub(time.UnixMilli(saved.GetSavedUnixMs()))
	if age < 0 || age >= savedEndpointTTL {
		return nil, nil
	}
	// Ages count from the present time, which does not follow the time of day if
	// that jumps later.
	savedAt := now.Add(-age)
	var entries []directory.Entry
	for _, entry := range entriesFromWire(l, savedAt, saved.GetEndpoints(), endpointsFileName) {
		if now.Sub(entry.LastSeen) < savedEndpointTTL {
			// The start and the sequence number are restored too, so that a
			// later announcement of the same start is merged as newer.
			entries = append(entries, entry)
		}
	}
	return entries, nil
}

// restoreEndpoints restores the directory saved before a restart, once another control
// host has sent its own or none has for restoreWait: an endpoint may have left meanwhile.
func (c *control) restoreEndpoints(ctx context.Context) {
	entries, err := loadEndpoints(c.log, c.settings.DataFolder, time.Now())
	if err != nil {
		event.EndpointsFileFailed.Log(c.log, event.Fields{"error": err.Error()})
		return
	}
	timer := time.NewTimer(restoreWait)
	defer timer.Stop()
	select {
	case <-c.firstSync:
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	c.mu.Lock()
	for _, e := range entries {
		c.directory.Merge(e)
	}
	c.mu.Unlock()
	event.EndpointsRestored.Log(c.log, event.Fields{"endpoints": len(entries)})
}

// saver returns a function that saves the directory if it has changed.
func (c *control) saver() func(context.Context) {
	saved := uint64(0)
	return func(context.Context) {
		now := time.Now()
		c.mu.Lock()
		revision, entries := c.directory.Revision(), c.directory.Since(0, directory.All)
		c.mu.Unlock()
		if revision == saved {
			return
		}
		if err := saveEndpoints(c.settings.DataFolder, now, entries); err != nil {
			event.EndpointsFileFailed.Log(c.log, event.Fields{"error": err.Error()})
			return
		}
		saved = revision
	}
}
