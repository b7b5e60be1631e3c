package locality

const (
	// zoneRTTMS and regionRTTMS are the round-trip times to another zone of the region
	// and to another region, in milliseconds.
	zoneRTTMS   = 2.0
	regionRTTMS = 24.0
	// eventBytes is the size of one event of a stream, tokenBytes of one token of an
	// answer that is no stream.
	eventBytes = 250.0
	tokenBytes = 4.0
	bytesPerGB = 1e9
	// endWeight is what a millisecond of the time after the first event counts. The
	// reader of a stream follows it as it comes.
	endWeight = 0.1
	// marginMS is by how much one side must be better for a request to decide otherwise
	// than its draw. Loads are known late: with a smaller margin, routers that see the
	// same old loads change sides together.
	marginMS = 50.0
)

// Prices are what traffic costs, in milliseconds of waiting that a GB is worth.
type Prices struct {
	// ZoneGB is for traffic between zones of a region, RegionGB for that between regions.
	ZoneGB   float64
	RegionGB float64
}

// Answer is what is expected of an answer.
type Answer struct {
	// Tokens is how many tokens are generated. TokensPerEvent is how many of them an
	// event of a stream holds; 0 for an answer that is no stream.
	Tokens         int
	TokensPerEvent int
}

// Bytes returns the expected size of the answer.
func (a Answer) Bytes() float64 {
	if a.TokensPerEvent > 0 {
		return a.Events() * eventBytes
	}
	return float64(a.Tokens) * tokenBytes
}

// Events returns the expected number of events of the answer.
func (a Answer) Events() float64 {
	return float64(a.Tokens) / float64(max(a.TokensPerEvent, 1))
}

// RTT returns the additional round-trip time over the distance, in milliseconds.
func RTT(d Distance) float64 {
	switch d {
	case SameRegion:
		return zoneRTTMS
	case OtherRegion:
		return regionRTTMS
	default:
		return 0
	}
}

// TrafficCost returns what the bytes cost over the distance, in milliseconds of waiting.
func (p Prices) TrafficCost(d Distance, bytes float64) float64 {
	switch d {
	case SameRegion:
		return p.ZoneGB * bytes / bytesPerGB
	case OtherRegion:
		return p.RegionGB * bytes / bytesPerGB
	default:
		return 0
	}
}

// Option is one place at which a request could run.
type Option struct {
	// FirstMS is the predicted time until the first event or the answer, with the round
	// trip and the reading of the prompt, and CostMS what else the place costs, both in
	// milliseconds.
	FirstMS float64
	CostMS  float64
	// StreamMS is the predicted time from the first event to the last, in milliseconds;
	// 0 if it is not known.
	StreamMS float64
}

// gain returns by how much leaving is better than staying, in milliseconds.
func gain(stay, leave Option) float64 {
	ms := stay.FirstMS + stay.CostMS - leave.FirstMS - leave.CostMS
	if stay.StreamMS > 0 && leave.StreamMS > 0 {
		ms += endWeight * (stay.StreamMS - leave.StreamMS)
	}
	return ms
}

// Leaves reports whether a request leaves its zone, given the best option there and the
// best one elsewhere. A request that was drawn to leave does so unless staying is clearly
// better, and any other one only if leaving is clearly better.
func Leaves(stay, leave Option, drawn bool) bool {
	if drawn {
		return gain(stay, leave) > -marginMS
	}
	return gain(stay, leave) > marginMS
}

// LeavesForCache reports whether a request leaves its zone for an endpoint that has read
// its shared prompt parts. Staying brings the parts into the zone, where later requests find
// them. As it is not known how many there will be, a request stays by its random number in
// [0, 1) with the ratio of the traffic cost of leaving once to the cost of bringing the
// parts: together, the requests cost at most about twice the better of both ways.
func LeavesForCache(stay, leave Option, trafficMS, draw float64) bool {
	ms := gain(stay, leave)
	return ms > 0 && draw*(ms+trafficMS) >= trafficMS
}
