package share

import (
	"math"
	"time"
)

const (
	// correctionTime is the time in which the routers together admit what an account
	// lacks to its limit. It is longer than the routers take to hear of each other,
	// so that they don't overshoot the limit.
	correctionTime = time.Second
	// maxPace is the maximum ratio of the tokens admitted per second to those of the
	// limit. What is admitted faster leaves the window faster too, and would be admitted
	// as fast again.
	maxPace = 1.5
)

// chance returns the fraction of an account's requests to admit, so that all routers
// together reach the limit of the window and stay there. offered are the tokens per window
// of the requests at all routers, and placed is the fraction for which an endpoint is found.
// What the account lacks is not made up for faster where little is placed: the endpoints
// may be free again before the routers hear of it.
//
// All routers admit the same fraction, each request by chance. A router that counted the
// tokens of its part instead would admit whole requests that are many times its part, and
// all routers would do so at the same time. The size of a request does not matter, because
// the largest would otherwise be refused most often.
func chance(limit, admitted, offered, placed float64, window time.Duration) float64 {
	if math.IsInf(limit, 1) || offered <= 0 {
		return 1
	}
	steady := limit / window.Seconds()
	correction := (limit - admitted) / correctionTime.Seconds()
	if correction > 0 {
		correction *= placed
	}
	pace := min(max(steady+correction, 0), steady*maxPace)
	return min(pace*window.Seconds()/(offered*placed), 1)
}
