// Package streams records which service and software version began each stream of events. What two
// versions write does not fit together, so that a stream may go on only at the version
// that began it, at whichever router the caller takes it up again.
//
// The package does no I/O and reads no clock: the current time is an argument.
package streams

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// TTL is how long a stream is remembered after its first event: longer than a
	// caller goes on taking it up again.
	TTL = time.Minute
	// maxStreams bounds the streams of an index.
	maxStreams = 200_000
)

// Key identifies a stream by the request that brought its first event.
type Key uint64

// NewKey returns the key of the stream that began with the request.
func NewKey(requestID string) Key { return Key(xxhash.Sum64String(requestID)) }

// Origin is what began a stream.
type Origin struct {
	Service string
	// Software is the version of the endpoint's software.
	Software string
}

// Stream is a stream and its origin.
type Stream struct {
	Key    Key
	Origin Origin
}

// Index holds the origins of streams. It is not safe for concurrent use.
type Index struct {
	origins map[Key]Origin
	// log holds the streams in the order in which they were added, with ascending
	// revisions.
	log      []added
	revision uint64
}

// added is a stream, when it was added, and whether it was reported by the router that
// forwards it.
type added struct {
	key      Key
	at       time.Time
	revision uint64
	reported bool
}

// New returns an empty index.
func New() *Index { return &Index{origins: make(map[Key]Origin)} }

// Report adds a stream from the router that forwards it.
func (x *Index) Report(now time.Time, s Stream) { x.add(now, s, true) }

// Merge adds a stream from another index.
func (x *Index) Merge(now time.Time, s Stream) { x.add(now, s, false) }

// add adds a stream that is not known yet. A full index leaves out the oldest.
func (x *Index) add(now time.Time, s Stream, reported bool) {
	x.removeExpired(now)
	if _, known := x.origins[s.Key]; known {
		return
	}
	if len(x.log) >= maxStreams {
		x.removeOldest(1)
	}
	x.revision++
	x.origins[s.Key] = s.Origin
	x.log = append(x.log, added{key: s.Key, at: now, revision: x.revision, reported: reported})
}

// Find returns the origin of the stream.
func (x *Index) Find(now time.Time, key Key) (origin Origin, found bool) {
	x.removeExpired(now)
	origin, found = x.origins[key]
	return origin, found
}

// Len returns the number of streams.
func (x *Index) Len() int { return len(x.log) }

// Revision returns the revision of the last stream that was added.
func (x *Index) Revision() uint64 { return x.revision }

// Since returns the streams that were added after the revision, at most limit of them,
// and the revision up to which the list is complete. A reader that has received nothing
// yet, with revision 0, gets all streams, any other only those that routers reported.
func (x *Index) Since(now time.Time, revision uint64, limit int) ([]Stream, uint64) {
	x.removeExpired(now)
	all := revision == 0
	first, _ := slices.BinarySearchFunc(x.log, revision+1, func(a added, revision uint64) int { return cmp.Compare(a.revision, revision) })
	var list []Stream
	for _, a := range x.log[first:] {
		if len(list) == limit {
			return list, revision
		}
		revision = a.revision
		if a.reported || all {
			list = append(list, Stream{Key: a.key, Origin: x.origins[a.key]})
		}
	}
	return list, x.revision
}

func (x *Index) removeExpired(now time.Time) {
	expired := 0
	for expired < len(x.log) && now.Sub(x.log[expired].at) >= TTL {
		expired++
	}
	x.removeOldest(expired)
}

func (x *Index) removeOldest(count int) {
	for _, a := range x.log[:count] {
		delete(x.origins, a.key)
	}
	x.log = x.log[count:]
}
