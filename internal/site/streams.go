package site

import (
	"context"
	"sync"
	"time"

	"oleanderramp/internal/directory"
	"oleanderramp/internal/peer"
	"oleanderramp/internal/streams"
	"oleanderramp/internal/wire"
)

const (
	// findStreamTimeout bounds one round of questions for the origin of a stream.
	findStreamTimeout = 200 * time.Millisecond
	// findStreamPause is the time between two rounds: a router reports a stream
	// within primarySyncPeriod, and control hosts pass it on within peerSyncPeriod.
	findStreamPause = 150 * time.Millisecond
	// findStreamRounds is the maximum number of rounds.
	findStreamRounds = 2
	// maxSyncedStreams bounds the streams in one response to a control host.
	maxSyncedStreams = 20_000
)

// streamsToWire groups the streams by their origins.
func streamsToWire(list []streams.Stream) []*wire.StreamGroup {
	groups := make(map[streams.Origin]*wire.StreamGroup)
	var result []*wire.StreamGroup
	for _, s := range list {
		group, ok := groups[s.Origin]
		if !ok {
			group = &wire.StreamGroup{Service: s.Origin.Service, Software: s.Origin.Software}
			groups[s.Origin] = group
			result = append(result, group)
		}
		group.Keys = append(group.Keys, uint64(s.Key))
	}
	return result
}

func streamsFromWire(groups []*wire.StreamGroup) []streams.Stream {
	var list []streams.Stream
	for _, group := range groups {
		origin := streams.Origin{Service: group.GetService(), Software: group.GetSoftware()}
		for _, key := range group.GetKeys() {
			list = append(list, streams.Stream{Key: streams.Key(key), Origin: origin})
		}
	}
	return list
}

// versionsToWire returns groups without streams, which say that the versions were in
// service.
func versionsToWire(list []directory.Version) []*wire.StreamGroup {
	groups := make([]*wire.StreamGroup, len(list))
	for i, v := range list {
		groups[i] = &wire.StreamGroup{Service: v.Service, Software: v.Software}
	}
	return groups
}

// addFormerVersions adds the versions of the groups without streams to the directory. It
// reports whether any is news.
func addFormerVersions(now time.Time, d *directory.Directory, groups []*wire.StreamGroup) bool {
	news := false
	for _, group := range groups {
		if len(group.GetKeys()) == 0 && d.AddFormer(now, directory.Version{Service: group.GetService(), Software: group.GetSoftware()}) {
			news = true
		}
	}
	return news
}

// softwareVersions returns the service and the software version of each endpoint that may
// have begun a stream.
func softwareVersions(now time.Time, d *directory.Directory) []streams.Origin {
	var origins []streams.Origin
	for _, v := range d.Versions(now) {
		origins = append(origins, streams.Origin{Service: v.Service, Software: v.Software})
	}
	return origins
}

// FindStream answers a router's question for the origin of a stream.
func (c *control) FindStream(now time.Time, request *wire.FindStreamRequest) *wire.FindStreamResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	origin, found := c.streams.Find(now, streams.Key(request.GetKey()))
	return &wire.FindStreamResponse{Found: found, Service: origin.Service, Software: origin.Software}
}

// findStream asks all control hosts for the origin of a stream that this router has not
// seen begin. It waits up to findStreamRounds rounds.
func (r *router) findStream(ctx context.Context, key streams.Key) (streams.Origin, bool) {
	r.mu.Lock()
	hosts := r.hosts.Targets(time.Now())
	r.mu.Unlock()
	var origin streams.Origin
	found := false
	for round := 0; round < findStreamRounds && !found && ctx.Err() == nil; round++ {
		if round > 0 {
			sleep(ctx, findStreamPause)
		}
		origin, found = r.askForStream(ctx, hosts, key)
	}
	return origin, found
}

// askForStream asks the control hosts at the same time and returns the first answer that
// has the stream.
func (r *router) askForStream(ctx context.Context, hosts []string, key streams.Key) (streams.Origin, bool) {
	ctx, cancel := context.WithTimeout(ctx, findStreamTimeout)
	defer cancel()
	return askHosts(ctx, hosts, func(ctx context.Context, host string) (streams.Origin, bool) {
		response, err := peer.FindStream(ctx, r.dialer, host, &wire.FindStreamRequest{Key: uint64(key)})
		return streams.Origin{Service: response.GetService(), Software: response.GetSoftware()}, err == nil && response.GetFound()
	})
}

// askHosts asks the hosts at the same time and returns the first answer, or false if none
// has one.
func askHosts[T any](ctx context.Context, hosts []string, ask func(ctx context.Context, host string) (T, bool)) (T, bool) {
	answers := make(chan T, len(hosts))
	var calls sync.WaitGroup
	for _, host := range hosts {
		calls.Go(func() {
			if answer, ok := ask(ctx, host); ok {
				answers <- answer
			}
		})
	}
	go func() {
		calls.Wait()
		close(answers)
	}()
	answer, ok := <-answers
	return answer, ok
}

// sleep waits for the duration, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
