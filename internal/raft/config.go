package raft

import (
	"math/rand/v2"
	"time"

	"oleanderramp/pkg/finding"
)

// Config holds the parameters of a node.
type Config struct {
	Self Member
	// ElectionTimeout is the minimum time without contact to a leader after
	// which a follower starts an election. The maximum is twice that.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// TargetVoters is the number of voters to which a quorum with a single
	// voter grows in one change, because a quorum of two voters tolerates no
	// failure. With 0 or 1, learners are promoted one by one.
	TargetVoters int
	// MaxMessageBytes limits the entries or snapshot data of one message. A
	// single entry that exceeds it is sent alone.
	MaxMessageBytes int
	// MaxEntryBytes limits the size of a command.
	MaxEntryBytes int
	// MaxInflight limits the unacknowledged appends to one member.
	MaxInflight int
	// MaxUncommittedBytes limits the size of the uncommitted entries.
	MaxUncommittedBytes int
	// Random is the source of the election jitter. Each replica must use a
	// different seed.
	Random *rand.Rand
}

// Defaults of Config.
const (
	defaultElectionTimeout     = time.Second
	defaultHeartbeatInterval   = 100 * time.Millisecond
	defaultMaxMessageBytes     = 256 << 10
	defaultMaxEntryBytes       = 4 << 20
	defaultMaxInflight         = 16
	defaultMaxUncommittedBytes = 8 << 20
)

// Defaults sets unset fields, except Self, TargetVoters and Random, to their
// defaults.
func (c *Config) Defaults() {
	setDefault(&c.ElectionTimeout, defaultElectionTimeout)
	setDefault(&c.HeartbeatInterval, defaultHeartbeatInterval)
	setDefault(&c.MaxMessageBytes, defaultMaxMessageBytes)
	setDefault(&c.MaxEntryBytes, defaultMaxEntryBytes)
	setDefault(&c.MaxInflight, defaultMaxInflight)
	setDefault(&c.MaxUncommittedBytes, defaultMaxUncommittedBytes)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate returns an error that lists all invalid parameters.
func (c *Config) Validate() error {
	var findings finding.List
	if c.Self.Host == "" || c.Self.Replica == 0 {
		findings.Addf("Self", "must have a host and a replica number")
	}
	if c.HeartbeatInterval <= 0 || c.ElectionTimeout < 2*c.HeartbeatInterval {
		findings.Addf("ElectionTimeout", "must be at least twice HeartbeatInterval")
	}
	if min(c.MaxMessageBytes, c.MaxEntryBytes, c.MaxInflight, c.MaxUncommittedBytes) <= 0 {
		findings.Addf("", "MaxMessageBytes, MaxEntryBytes, MaxInflight and MaxUncommittedBytes must be positive")
	}
	if c.Random == nil {
		findings.Addf("Random", "must be set")
	}
	return findings.Err()
}
