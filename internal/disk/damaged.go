package disk

import (
	"errors"
	"slices"
	"strings"
)

// damagedSuffix marks the renamed files, which Open ignores.
const damagedSuffix = ".damaged"

// RenameDamaged renames the files of a damaged folder, so that Open creates a
// new identity and an empty log, and returns the new names. Files that were
// renamed earlier are removed.
//
// The identity is renamed first: without it no replica can vote under the old
// replica number, even if a crash leaves the other files in place.
func RenameDamaged(files FileSystem) ([]string, error) {
	names, err := files.Names()
	if err != nil {
		return nil, err
	}
	var renamed []string
	for _, name := range names {
		if strings.HasSuffix(name, damagedSuffix) {
			if err := files.Remove(name); err != nil {
				return nil, err
			}
		}
	}
	rename := func(name string) error {
		renamed = append(renamed, name+damagedSuffix)
		return files.Rename(name, name+damagedSuffix)
	}
	if slices.Contains(names, identityName) {
		if err := errors.Join(rename(identityName), files.SyncFolder()); err != nil {
			return nil, err
		}
	}
	for _, name := range slices.Concat(namesWithPrefix(names, segmentPrefix), namesWithPrefix(names, snapshotPrefix)) {
		if strings.HasSuffix(name, damagedSuffix) {
			continue
		}
		if err := rename(name); err != nil {
			return nil, err
		}
	}
	return renamed, files.SyncFolder()
}
