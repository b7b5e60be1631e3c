package state

// maxUnixMS is the end of the year 9999. A later time on a command is an
// error of its sender.
const maxUnixMS = 253_402_300_799_999

// maxClockStepMS bounds how far one command moves the clock.
const maxClockStepMS = 60_000

// clock is the time of the state. It counts the milliseconds between the
// stamps of commands. A stamp behind the one before adds nothing, one far
// ahead adds maxClockStepMS, and later stamps count from there, so that a
// leader with a wrong clock neither ends retentions and leases early nor
// stops the time.
type clock struct {
	// lastTimestampMS is the latest stamp, in Unix time. It may go back.
	lastTimestampMS int64
	// nowMS never goes back.
	nowMS int64
}

// advance moves the clock to a command's stamp. Stamps before 1970 are none.
func (c *clock) advance(timestampMS int64) {
	if timestampMS <= 0 {
		return
	}
	if step := timestampMS - c.lastTimestampMS; step > 0 {
		c.nowMS += min(step, maxClockStepMS)
	}
	c.lastTimestampMS = timestampMS
}

// toUnixMS returns a time of the clock in Unix time by the latest stamp.
func (c *clock) toUnixMS(ms int64) int64 { return c.lastTimestampMS + ms - c.nowMS }
