package ratelimit

import "time"

const (
	// bucketLength is the resolution of a counter.
	bucketLength = 250 * time.Millisecond
	buckets      = int(Window/bucketLength) + 1
)

// counter counts the requests within Window, and of up to bucketLength before it.
type counter struct {
	counts [buckets]int
	total  int
	// newest is the start of the newest bucket, counts[at].
	newest time.Time
	at     int
}

// advance removes what is older than the window.
func (c *counter) advance(now time.Time) {
	if now.Sub(c.newest) >= bucketLength*time.Duration(buckets) {
		*c = counter{newest: now}
		return
	}
	for now.Sub(c.newest) >= bucketLength {
		c.newest = c.newest.Add(bucketLength)
		c.at = (c.at + 1) % buckets
		c.total -= c.counts[c.at]
		c.counts[c.at] = 0
	}
}

func (c *counter) add(now time.Time) {
	c.advance(now)
	c.counts[c.at]++
	c.total++
}

func (c *counter) count(now time.Time) int {
	c.advance(now)
	return c.total
}
