package placement

import "time"

// bucketCapacity is the maximum burst of orders.
const bucketCapacity = 1

// bucket is the weight store's token bucket for one service. It starts empty,
// so that a change of holder never exceeds the rate.
type bucket struct {
	// tokens is between 0 and bucketCapacity.
	tokens     float64
	refilledAt time.Time
}

func (b *bucket) refill(now time.Time, perMinute int) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(bucketCapacity, b.tokens+elapsed.Minutes()*float64(perMinute))
		b.refilledAt = now
	}
}

// wait returns the time until the next order is allowed.
func (b *bucket) wait(perMinute int) time.Duration {
	if b.tokens >= 1 || perMinute <= 0 {
		return 0
	}
	return time.Duration((1 - b.tokens) / float64(perMinute) * float64(time.Minute))
}

// take consumes a token. It returns false when none is available.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
