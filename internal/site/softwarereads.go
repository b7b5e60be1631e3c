package site

import (
	"context"
	"sync"
	"time"

	"oleanderramp/internal/peer"
	"oleanderramp/internal/wire"
)

const (
	// softwareReadTimeout bounds one read of the recorded software versions.
	softwareReadTimeout = 200 * time.Millisecond
	// softwareReadWait bounds the wait of a request for a read that begins after it has
	// arrived: an earlier read may be in progress.
	softwareReadWait = 2*softwareReadTimeout + 50*time.Millisecond
)

// softwareReads reads the recorded software versions for the requests of a router. A
// request gets those of a read that began after it had arrived: its stream may have begun
// at a version that was recorded just before.
type softwareReads struct {
	reads *onDemand

	// mu guards the result of the last read. versions is nil if that failed.
	mu       sync.Mutex
	versions map[string][]string
}

func newSoftwareReads() *softwareReads { return &softwareReads{reads: newOnDemand()} }

// only returns the one version that is recorded for the service, and whether there is
// exactly one. It waits up to softwareReadWait.
func (s *softwareReads) only(service string) (software string, only bool) {
	if !s.reads.await(softwareReadWait) {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.versions[service]) != 1 {
		return "", false
	}
	return s.versions[service][0], true
}

func (s *softwareReads) set(versions map[string][]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = versions
}

// readSoftware reads the recorded software versions from the leader: it asks all control
// hosts at the same time, of which only the leader can answer.
func (r *router) readSoftware(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, softwareReadTimeout)
	defer cancel()
	r.mu.Lock()
	hosts := r.hosts.Targets(time.Now())
	r.mu.Unlock()
	request := &wire.QueryRequest{Body: &wire.QueryRequest_Software{Software: &wire.SoftwareQuery{}}}
	answer, ok := askHosts(ctx, hosts, func(ctx context.Context, host string) (*wire.SoftwareState, bool) {
		response, err := peer.Query(ctx, r.dialer, host, request)
		return response.GetSoftware(), err == nil && response.GetNotLeader() == nil
	})
	if !ok {
		r.software.set(nil)
		return
	}
	versions := make(map[string][]string)
	for _, v := range answer.GetVersions() {
		versions[v.GetService()] = append(versions[v.GetService()], v.GetSoftware())
	}
	r.software.set(versions)
}
