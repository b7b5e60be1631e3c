package placement

import "time"

// bucketCapacity is how many orders may follow one another at once.
const bucketCapacity = 1

// bucket is the weight store's token bucket for one service. It starts empty,
// so that a change of the holder never adds to the rate.
type bucket struct {
	// tokens is from 0 to bucketSize.
	tokens float64
	refilledAt     time.Time
}

func (b *bucket) refill(now time.Time, perMinute int) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(bucketCapacity, b.tokens+elapsed.Minutes()*float64(perMinute))
		b.refilledAt = now
	}
}

// wait returns how long the next order must wait.
func (b *bucket) wait(perMinute int) time.Duration {
	if b.tokens >= 1 || perMinute <= 0 {
		return 0
	}
	return time.Duration((1 - b.tokens) / float64(perMinute) * float64(time.Minute))
}

// take returns false when the order must wait.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
