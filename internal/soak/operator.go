package soak

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"oleanderramp/platform/outside"
)

const (
	// maxOrderPause is the maximum pause between two orders of an operator.
	maxOrderPause = 800 * time.Millisecond
	// orderTimeout is the timeout of one attempt to send an order, readTimeout
	// that of one read.
	orderTimeout = 5 * time.Second
	readTimeout  = 2 * time.Second
	// probeInterval is the time between two probes, reads or retries.
	probeInterval = 150 * time.Millisecond
	// invalidOrderPercent is the percentage of orders that are invalid.
	invalidOrderPercent = 10
)

// versions records the routing versions that operators sent, and those that were
// acknowledged and read back. It is safe for concurrent use.
type versions struct {
	mu sync.Mutex
	// highest is the highest version that was sent, acknowledged the highest
	// version that was acknowledged.
	highest, acknowledged int
	// bodies holds all documents that were sent under a version, read the
	// document that was read back.
	bodies map[int][][]byte
	read   map[int][]byte
}

func newVersions() *versions {
	return &versions{bodies: make(map[int][][]byte), read: make(map[int][]byte)}
}

// next returns the version and body of a new order. With reuseLast it uses the
// highest version again, if there is one.
func (v *versions) next(table tableContent, reuseLast bool) (int, []byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !reuseLast || v.highest == 0 {
		v.highest++
	}
	body := orderDocument(v.highest, table)
	v.bodies[v.highest] = append(v.bodies[v.highest], body)
	return v.highest, body
}

func (v *versions) acknowledge(version int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.acknowledged = max(v.acknowledged, version)
}

func (v *versions) known() (acknowledged, highest int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.acknowledged, v.highest
}

// recordRead returns the version of a document that was read back. It returns
// false if the document was never sent, or if a different one was read before
// under the same version.
func (v *versions) recordRead(body []byte) (int, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for version, bodies := range v.bodies {
		for _, other := range bodies {
			if !bytes.Equal(body, other) {
				continue
			}
			before, known := v.read[version]
			v.read[version] = body
			return version, !known || bytes.Equal(before, body)
		}
	}
	return 0, false
}

// runOperator sends valid and invalid orders until the context ends.
func (s *Site) runOperator(ctx context.Context, operator int, random *rand.Rand) {
	for sleep(ctx, time.Duration(random.Int64N(int64(maxOrderPause)))) {
		if random.IntN(100) < invalidOrderPercent {
			s.orderInvalid(ctx, random)
			continue
		}
		version, body := s.versions.next(defaultTable(operator), random.IntN(4) == 0)
		s.order(ctx, version, body, random)
	}
}

// order sends an order to randomly chosen control hosts until one of them
// acknowledges it. It returns false if it was refused or the context ends.
func (s *Site) order(ctx context.Context, version int, body []byte, random *rand.Rand) bool {
	for ctx.Err() == nil {
		status, answer, err := send(ctx, s.controlAddress(random.IntN(len(s.controls))), http.MethodPost, outside.ReplacePath, body, orderTimeout)
		switch {
		case err == nil && status == http.StatusOK:
			s.versions.acknowledge(version)
			return true
		case err == nil && status < http.StatusInternalServerError:
			s.recorder.addFinding("CONFIG", "valid order with version %d was refused: %d %s", version, status, answer)
			return false
		}
		sleep(ctx, probeInterval)
	}
	return false
}

// orderInvalid sends an order that refers to an unknown service and must be
// refused.
func (s *Site) orderInvalid(ctx context.Context, random *rand.Rand) {
	_, highest := s.versions.known()
	body := bytes.Replace(orderDocument(highest+1000, defaultTable(0)), []byte(`"service":"`+plainService), []byte(`"service":"nobody`), 1)
	status, _, err := send(ctx, s.controlAddress(random.IntN(len(s.controls))), http.MethodPost, outside.ReplacePath, body, orderTimeout)
	if err == nil && status < http.StatusMultipleChoices {
		s.recorder.addFinding("CONFIG", "an invalid order was acknowledged")
	}
}

// readRoutingTables reads the routing table from randomly chosen control hosts. A
// table must not be older than the last version acknowledged before the read.
func (s *Site) readRoutingTables(ctx context.Context, random *rand.Rand) {
	for sleep(ctx, probeInterval) {
		s.readRoutingTable(ctx, random.IntN(len(s.controls)))
	}
}

// readRoutingTable reads the routing table from one control host and returns its
// version, or 0 if it could not be read.
func (s *Site) readRoutingTable(ctx context.Context, control int) int {
	acknowledged, _ := s.versions.known()
	status, body, err := send(ctx, s.controlAddress(control), http.MethodGet, outside.ReadPath, nil, readTimeout)
	if err != nil || status != http.StatusOK {
		return 0
	}
	version, ok := s.versions.recordRead(body)
	switch {
	case !ok:
		s.recorder.addFinding("CONFIG", "%s returned a document that was never sent, or a second document of one version: %.80s", s.controls[control].name(), body)
	case version < acknowledged:
		s.recorder.addFinding("CONFIG", "%s returned version %d after version %d was acknowledged", s.controls[control].name(), version, acknowledged)
	}
	return version
}

// probeRouter repeatedly checks which version one router uses. The version must
// not decrease while the same process runs.
func (s *Site) probeRouter(ctx context.Context, router int) {
	lifetime, seen := 0, 0
	for sleep(ctx, probeInterval) {
		before, serving := s.routers[router].state()
		if before != lifetime {
			lifetime, seen = before, 0
		}
		_, highest := s.versions.known()
		if !serving || highest == 0 {
			continue
		}
		if s.probeVersion(ctx, router, highest) == versionActive {
			seen = highest
		}
		if seen > 0 && s.probeVersion(ctx, router, seen) == versionInactive {
			if after, _ := s.routers[router].state(); after == lifetime {
				s.recorder.addFinding("CONFIG", "%s went back to a version before %d", s.routers[router].name(), seen)
			}
		}
	}
}

// versionStatus is the result of asking a router whether it uses a version or a
// later one.
type versionStatus int

const (
	versionUndetermined versionStatus = iota
	versionInactive
	versionActive
)

func (s *Site) probeVersion(ctx context.Context, router, version int) versionStatus {
	status, _, err := sendWithHost(ctx, s.routerAddress(router), siteHost, http.MethodGet, versionRoutePrefix(version)+"probe", nil, readTimeout)
	switch {
	case err != nil || status == http.StatusServiceUnavailable:
		return versionUndetermined
	case status == http.StatusNotFound:
		return versionInactive
	default:
		return versionActive
	}
}
