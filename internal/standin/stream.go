package standin

import (
	"context"
	"sync"
	"time"
)

// stream is the answer to one request while it is generated, and for a time
// afterwards. It can be read from any token by any connection.
type stream struct {
	job
	// ctx ends when the stream is cancelled.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// tokens grows until finished.
	tokens   []string
	finished bool
	// updated is closed, and replaced, at each change.
	updated chan struct{}
	// readers counts the connections that read the stream.
	readers int
	// grace cancels the stream when nobody has read it for a time.
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

// tokensFrom returns the tokens from number from on, whether they are the last,
// and a channel that is closed when there are more.
func (s *stream) tokensFrom(from int) (tokens []string, finished bool, updated <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < len(s.tokens) {
		tokens = s.tokens[from:len(s.tokens):len(s.tokens)]
	}
	return tokens, s.finished, s.updated
}

// attach counts a reader.
func (s *stream) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
	if s.grace != nil {
		s.grace.Stop()
		s.grace = nil
	}
}

// detach takes a reader off. Without any, the stream is cancelled after grace.
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
	// ended holds the finished streams and when they ended, oldest first.
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

// end notes that the stream has ended, and forgets those that ended long ago.
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
