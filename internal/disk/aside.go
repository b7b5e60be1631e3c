package disk

import (
	"errors"
	"slices"
	"strings"
)

// asideSuffix marks files that are no longer used.
const asideSuffix = ".damaged"

// SetAside renames the files of a damaged folder so that Open begins anew, and
// returns their new names. Files that were set aside before are removed.
//
// The identity goes first: without it nothing can vote under the old number,
// even if a crash leaves the rest where it is.
func SetAside(files FileSystem) ([]string, error) {
	names, err := files.Names()
	if err != nil {
		return nil, err
	}
	var aside []string
	for _, name := range names {
		if strings.HasSuffix(name, asideSuffix) {
			if err := files.Remove(name); err != nil {
				return nil, err
			}
		}
	}
	setAside := func(name string) error {
		aside = append(aside, name+asideSuffix)
		return files.Rename(name, name+asideSuffix)
	}
	if slices.Contains(names, identityName) {
		if err := errors.Join(setAside(identityName), files.SyncFolder()); err != nil {
			return nil, err
		}
	}
	for _, name := range slices.Concat(namesWith(names, segmentPrefix), namesWith(names, snapshotPrefix)) {
		if strings.HasSuffix(name, asideSuffix) {
			continue
		}
		if err := setAside(name); err != nil {
			return nil, err
		}
	}
	return aside, files.SyncFolder()
}
