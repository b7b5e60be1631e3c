package directory

import (
	"cmp"
	"slices"
	"time"
)

// Version is a version of a service's software.
type Version struct {
	Service, Software string
}

// formerVersion is a version whose endpoint has restarted with another one: when that was
// heard of, and whether this directory saw it itself.
type formerVersion struct {
	at     time.Time
	direct bool
}

// Version returns the version of the entry; its service is "" if that is unknown.
func (e Entry) Version() Version { return Version{Service: e.Service, Software: e.Software} }

// HasVersion reports whether an endpoint that may get new work, and has announced itself
// within entryTTL before the entry, has the entry's version.
func (d *Directory) HasVersion(e Entry) bool {
	has := func(r *record) bool {
		return !r.Leaving && r.Version() == e.Version() && e.LastSeen.Sub(r.LastSeen) < entryTTL
	}
	if held, ok := d.entries[e.ID]; ok && has(held) {
		return true
	}
	for _, r := range d.entries {
		if has(r) {
			return true
		}
	}
	return false
}

// recordReplaced records that an entry is replaced by one of another version.
func (d *Directory) recordReplaced(now time.Time, held, e Entry) {
	if held.Service != "" && held.Version() != e.Version() {
		d.former[held.Version()] = formerVersion{at: now, direct: true}
	}
}

// AddFormer adds a version that another directory has seen replaced. It reports whether
// that is news.
func (d *Directory) AddFormer(now time.Time, v Version) bool {
	seen, known := d.former[v]
	if !seen.direct {
		d.former[v] = formerVersion{at: now}
	}
	return !known
}

// Former returns the versions that endpoints had before they restarted with another one,
// for entryTTL after that; only those that this directory has seen itself if direct is set.
func (d *Directory) Former(now time.Time, direct bool) []Version {
	var list []Version
	for v, seen := range d.former {
		if now.Sub(seen.at) < entryTTL && (seen.direct || !direct) {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b Version) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Software, b.Software))
	})
	return list
}

// Versions returns the versions of all endpoints, also of those that are leaving or were
// not heard of lately, and the former ones.
func (d *Directory) Versions(now time.Time) []Version {
	list := d.Former(now, false)
	for _, r := range d.entries {
		if r.Service != "" {
			list = append(list, r.Version())
		}
	}
	return list
}

func (d *Directory) removeExpiredVersions(now time.Time) {
	for v, seen := range d.former {
		if now.Sub(seen.at) >= entryTTL {
			delete(d.former, v)
		}
	}
}
