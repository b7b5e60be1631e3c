package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"oleanderramp/platform/outside"
)

const (
	// maxEvacuationDelay is how long after its acknowledgement an order to evacuate a
	// zone may not be in force yet.
	maxEvacuationDelay = 2500 * time.Millisecond
	// evacuationTime is how long a zone is evacuated without faults, and maxEvacuationPause
	// bounds the time between two orders during faults.
	evacuationTime     = 2 * time.Second
	maxEvacuationPause = 1500 * time.Millisecond
	// evacuationAttempt is the timeout of one attempt to send an order.
	evacuationAttempt = 2 * time.Second
)

// evacuation is a time, since the start of the run, in which a zone must get no requests.
type evacuation struct {
	zone        string
	from, until time.Duration
}

// evacuated reports whether the endpoint that ran a request should not have got it.
func (s *Site) evacuated(e execution) bool {
	return slices.ContainsFunc(s.evacuations, func(v evacuation) bool {
		return v.zone == e.zone && e.at >= v.from && e.at < v.until
	})
}

// orderEvacuation sends an order to randomly chosen control hosts until one of them
// acknowledges it. It returns false if it was refused or the context ends.
func (s *Site) orderEvacuation(ctx context.Context, zone string, begin bool, random *rand.Rand) bool {
	for ctx.Err() == nil {
		address := s.controlAddress(random.IntN(len(s.controls)))
		status, answer, err := send(ctx, address, http.MethodPost, outside.EvacuatePath(zone, begin), nil, evacuationAttempt)
		switch {
		case err == nil && status == http.StatusOK:
			return true
		case err == nil && status < http.StatusInternalServerError:
			s.recorder.addFinding("CONFIG", "an order to evacuate %s (begin %v) was refused: %d %s", zone, begin, status, answer)
			return false
		}
		sleep(ctx, probeInterval)
	}
	return false
}

// runEvacuations evacuates zones for a while each until the faults end, and then revokes
// what is left. Copies of the orders may be delayed by faults; awaitServing fails if one
// of them has evacuated the zone of the local lookups again.
func (s *Site) runEvacuations(faults, run context.Context, random *rand.Rand) {
	for sleep(faults, randomDuration(random, 0, maxEvacuationPause)) {
		zone := s.zone(random.IntN(zoneCount))
		s.recorder.addFault("%s is evacuated", zone)
		s.orderEvacuation(faults, zone, true, random)
		sleep(faults, randomDuration(random, 0, maxEvacuationPause))
		bounded, cancel := withRunningTimeout(run, recoveryTimeout+s.config.Faults)
		if !s.orderEvacuation(bounded, zone, false, random) {
			s.recorder.addFinding("RECOVER", "the end of the evacuation of %s was not acknowledged", zone)
		}
		cancel()
		s.recorder.addFault("%s is no longer evacuated", zone)
	}
}

// evacuate evacuates a zone that leaves endpoints for all requests, and calls during once
// no router may send requests to it. It does nothing but call it if there is no such zone.
func (s *Site) evacuate(ctx context.Context, random *rand.Rand, during func()) {
	bounded, cancel := withRunningTimeout(ctx, recoveryTimeout)
	defer cancel()
	zone := s.evacuableZone(random)
	if zone == "" {
		during()
		return
	}
	if !s.orderEvacuation(bounded, zone, true, random) {
		s.recorder.addFinding("RECOVER", "the evacuation of %s was not acknowledged within %v", zone, recoveryTimeout)
		during()
		return
	}
	awaitWhileRunning(ctx.Done(), maxEvacuationDelay)
	from := s.since()
	during()
	s.evacuations = append(s.evacuations, evacuation{zone: zone, from: from, until: s.since()})
	finish, cancelFinish := withRunningTimeout(ctx, recoveryTimeout)
	defer cancelFinish()
	if !s.orderEvacuation(finish, zone, false, random) {
		s.recorder.addFinding("RECOVER", "the end of the evacuation of %s was not acknowledged within %v", zone, recoveryTimeout)
	}
}

// evacuableZone returns a zone without which each kind of request has an endpoint, or ""
// if there is none.
func (s *Site) evacuableZone(random *rand.Rand) string {
	for _, number := range random.Perm(zoneCount) {
		zone := s.zone(number)
		if !slices.ContainsFunc(requestKinds, func(k requestKind) bool { return !s.hasEndpointOutside(k, zone) }) {
			return zone
		}
	}
	return ""
}

// hasEndpointOutside reports whether the kind of request has an endpoint in another zone.
func (s *Site) hasEndpointOutside(k requestKind, zone string) bool {
	return slices.ContainsFunc(s.endpoints, func(e *Endpoint) bool {
		at, current := s.zone(e.number), e.incarnation()
		return at != zone && (k.regions == nil || slices.Contains(k.regions, at)) &&
			current != nil && current.service == k.service && !current.leaving.Load()
	})
}
