package standin

import (
	"context"
	"sync"
	"time"
)

// stream is the answer to one request, kept while it is generated and for the
// retention period afterwards. Any connection can read it from any token.
type stream struct {
	job
	// ctx ends when the stream is cancelled.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// tokens is appended to until finished is set.
	tokens   []string
	finished bool
	// updated is closed and replaced on each change.
	updated chan struct{}
	// readers is the number of connections that are reading the stream.
	readers int
	// grace cancels the stream when it has had no reader for the grace period.
	grace *time.Timer
}

func newStream(parent context.Context, j job) *stream {
	s := &stream{job: j, updated: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(parent)
	return s
}

func (s *stream) add(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = append(s.tokens, token)
	s.changed()
}

func (s *stream) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = true
	s.changed()
}

func (s *stream) changed() {
	close(s.updated)
	s.updated = make(chan struct{})
}

// tokensFrom returns the tokens from index from on, whether generation has
// finished, and a channel that is closed on the next change.
func (s *stream) tokensFrom(from int) (tokens []string, finished bool, updated <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < len(s.tokens) {
		tokens = s.tokens[from:len(s.tokens):len(s.tokens)]
	}
	return tokens, s.finished, s.updated
}

// attach adds a reader.
func (s *stream) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
	if s.grace != nil {
		s.grace.Stop()
		s.grace = nil
	}
}

// detach removes a reader. An unfinished stream without readers is cancelled
// after grace.
func (s *stream) detach(grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	if s.readers == 0 && !s.finished {
		s.grace = time.AfterFunc(grace, s.cancel)
	}
}

// streamTable holds the streams by request id.
type streamTable struct {
	mu      sync.Mutex
	streams map[string]*stream
	// ended holds the streams that ended, with the time, oldest first.
	ended []endedStream
}

type endedStream struct {
	stream *stream
	at     time.Time
}

func newStreamTable() *streamTable {
	return &streamTable{streams: make(map[string]*stream)}
}

func (t *streamTable) add(s *stream) {
	if s.id == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streams[s.id] = s
}

func (t *streamTable) get(id string) *stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.streams[id]
}

// end records that the stream has ended, and removes the streams that ended
// more than the retention period ago.
func (t *streamTable) end(now time.Time, s *stream, retention time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = append(t.ended, endedStream{stream: s, at: now})
	for len(t.ended) > 0 && now.Sub(t.ended[0].at) > retention {
		old := t.ended[0].stream
		if t.streams[old.id] == old {
			delete(t.streams, old.id)
		}
		t.ended = t.ended[1:]
	}
}
