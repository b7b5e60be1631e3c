package contention

import "time"

const (
	// minRetryAfter is the shortest time after which a refused request may return.
	minRetryAfter = 50 * time.Millisecond
	// goodOdds are the odds from which on a request may return within its objective: it is
	// served more often than not.
	goodOdds = 0.5
	// minOdds bound the time after which a request returns that is hardly ever admitted.
	minOdds = 0.02
	// soonestPart and latestPart bound the part of the objective left after which a request
	// with good odds returns.
	soonestPart = 0.15
	latestPart  = 0.35
	// deadlinePart is the part of the time left until the deadline after which a request
	// returns at the latest. The rest is for the answer.
	deadlinePart = 0.6
	// spreadPart is the part of a longer time over which requests return that were refused
	// at the same time.
	spreadPart = 0.5
)

// Refused is a request that is refused and may return.
type Refused struct {
	// Chance is the fraction of the account's requests that is admitted at present, and
	// Steady the fraction that its share is of what it asks for.
	Chance, Steady float64
	// Placed is the fraction of the admitted requests for which an endpoint is found.
	Placed float64
	// Window is that of the shares.
	Window time.Duration
	// ObjectiveLeft and DeadlineLeft are how much time is left for an answer in time and
	// for any.
	ObjectiveLeft, DeadlineLeft time.Duration
	// Draw is a random number of the request in [0, 1).
	Draw float64
}

// RetryAfter returns the time after which a refused request should return: soon enough for
// its objective if it is then likely to be served, and otherwise once, after the time that
// its account needs for what it asks for now. Requests of the same time return spread.
func RetryAfter(r Refused) time.Duration {
	odds := min(max((r.Chance+r.Steady)/2*r.Placed, minOdds), 1)
	latest := scale(r.DeadlineLeft, deadlinePart)
	wait := scale(r.ObjectiveLeft, soonestPart+r.Draw*(latestPart-soonestPart))
	if odds < goodOdds {
		// What the account asks for in a window takes it 1/odds windows.
		longest := min(scale(r.Window, 1/odds-1), latest)
		wait = max(wait, scale(longest, 1-spreadPart*r.Draw))
	}
	return max(min(wait, latest), minRetryAfter)
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
