package peer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// hostBits is the number of an incarnation's lowest bits that tell hosts
// apart which start in the same millisecond.
const hostBits = 12

// NewIncarnation returns a number that grows with each start of the host.
func NewIncarnation(now time.Time, host string) uint64 {
	return uint64(now.UnixMilli())<<hostBits | xxhash.Sum64String(host)%(1<<hostBits)
}
