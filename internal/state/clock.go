package state

// maxUnixMS is the end of the year 9999. Commands with a later timestamp are
// refused.
const maxUnixMS = 253_402_300_799_999

// maxClockStepMS is the most by which one command advances the clock.
const maxClockStepMS = 60_000

// clock is the time of the state machine. It sums the milliseconds between the
// timestamps of successive commands. A timestamp before the previous one adds
// nothing, one far ahead adds at most maxClockStepMS, and the next difference
// is taken from that timestamp. A leader with a wrong clock thus neither ends
// retentions and leases early nor stops the clock.
type clock struct {
	// lastTimestampMS is the timestamp of the latest command, in Unix time. It
	// may decrease.
	lastTimestampMS int64
	// nowMS is the time of the clock, which never decreases.
	nowMS int64
}

// advance moves the clock to the timestamp of a command. Timestamps that are
// not after the Unix epoch are ignored.
func (c *clock) advance(timestampMS int64) {
	if timestampMS <= 0 {
		return
	}
	if step := timestampMS - c.lastTimestampMS; step > 0 {
		c.nowMS += min(step, maxClockStepMS)
	}
	c.lastTimestampMS = timestampMS
}

// toUnixMS converts a time of the clock to Unix time, relative to the latest
// timestamp.
func (c *clock) toUnixMS(ms int64) int64 { return c.lastTimestampMS + ms - c.nowMS }
