// Package locality decides whether a request leaves its router's availability zone:
// what the traffic to another zone or region costs, whether that pays for one request,
// and which fraction of the requests leaves for each other zone.
//
// It does no I/O and reads no clock: the current time is an argument.
package locality

// Place is where a daemon or an endpoint runs.
type Place struct {
	Zone   string
	Region string
}

// Distance is how far apart two places are.
type Distance int

// The distances of two places.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// DistanceTo returns the distance between two places.
func (p Place) DistanceTo(other Place) Distance {
	switch {
	case p == other:
		return SameZone
	case p.Region == other.Region:
		return SameRegion
	default:
		return OtherRegion
	}
}

// Reason is why a request leaves its router's zone.
type Reason string

const (
	// Stays means that the request does not leave the zone.
	Stays Reason = ""
	// NoEndpoint means that no endpoint of the zone may run the request.
	NoEndpoint Reason = "no_endpoint"
	// Busy means that no endpoint of the zone has the capacity to answer in time.
	Busy Reason = "busy"
	// Faster means that the answer is expected sooner elsewhere, by more than the
	// traffic costs.
	Faster Reason = "faster"
	// Cached means the same of the endpoint that has read most of the shared prompt
	// parts.
	Cached Reason = "cached"
)
