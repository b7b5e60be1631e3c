package peer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// hostBits is how many of an incarnation's lowest bits hold a hash of the
// host's name. They distinguish hosts that start in the same millisecond.
const hostBits = 12

// NewIncarnation returns a number that increases with each start of the host.
func NewIncarnation(now time.Time, host string) uint64 {
	return uint64(now.UnixMilli())<<hostBits | xxhash.Sum64String(host)%(1<<hostBits)
}
