package placement

import (
	"time"
)

// Config holds the tunables of a Placer. Zero fields take their defaults.
type Config struct {
	// MinNeedDuration is how long a target must need one more endpoint before
	// an order is issued for it.
	MinNeedDuration time.Duration
	// MinRequestWait is how long a request must have waited to count as demand.
	MinRequestWait time.Duration
	// CompletionTimeout is how long an order may take until the endpoint
	// announces that it is complete.
	CompletionTimeout time.Duration
	// Cooldown is how long an endpoint gets no further order for a target that
	// it has refused or not completed.
	Cooldown time.Duration
}

// Defaults of Config.
const (
	defaultMinNeedDuration   = 2 * time.Second
	defaultMinRequestWait    = time.Second
	defaultCompletionTimeout = 5 * time.Minute
	defaultCooldown          = time.Minute
)

// SetDefaults sets the zero fields to their defaults.
func (c *Config) SetDefaults() {
	setDefault(&c.MinNeedDuration, defaultMinNeedDuration)
	setDefault(&c.MinRequestWait, defaultMinRequestWait)
	setDefault(&c.CompletionTimeout, defaultCompletionTimeout)
	setDefault(&c.Cooldown, defaultCooldown)
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}
