package standin

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"oleanderramp/internal/endpoint"
	"oleanderramp/pkg/prefix"
)

// maxChainBlocks is the maximum number of blocks of a prompt that are hashed.
const maxChainBlocks = 64

// Engine simulates a model engine.
type Engine struct {
	*base
	config  EngineConfig
	cache   *prefixCache
	streams *streamTable
	// generating counts the running generations; it is incremented only while
	// a handler runs.
	generating sync.WaitGroup

	mu       sync.Mutex
	models   []string
	adapters []string
	role     string
	// fence is the highest fencing token seen.
	fence  uint64
	orders []Order
}

// NewEngine starts a model engine.
func NewEngine(config EngineConfig) (*Engine, error) {
	config.Defaults()
	b, err := newBase(config.Config)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	e := &Engine{
		base:     b,
		config:   config,
		cache:    newPrefixCache(config.CacheBlocks),
		streams:  newStreamTable(),
		models:   slices.Clone(config.Models),
		adapters: slices.Clone(config.Adapters),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleChat)
	mux.HandleFunc("POST /v1/completions", e.handleText)
	mux.HandleFunc("GET /v1/models", e.handleModels)
	mux.HandleFunc("GET /v1/streams/{id}", e.handleResume)
	mux.HandleFunc("POST /v1/streams/{id}/cancel", e.handleCancel)
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	mux.HandleFunc("GET /control/orders", e.handleOrders)
	b.serve(mux, e.announcement)
	return e, nil
}

// Close stops the engine at once and waits for its goroutines to end.
func (e *Engine) Close() {
	e.close()
	e.generating.Wait()
}

// Load returns the number of running and of queued requests.
func (e *Engine) Load() (running, queued int) { return e.slots.load() }

func (e *Engine) announcement() endpoint.AnnouncementDocument {
	document := e.base.announcement()
	e.mu.Lock()
	document.Models = slices.Clone(e.models)
	document.Adapters = slices.Clone(e.adapters)
	e.mu.Unlock()
	document.ChecksFencing = e.config.ChecksFencing
	document.Cached = e.cache.announced()
	return document
}

// generate starts generating the answer to a job. Generation does not depend
// on a connection and continues until it is complete or cancelled.
func (e *Engine) generate(j job) *stream {
	s := newStream(e.stopCtx, j)
	e.streams.add(s)
	e.generating.Go(func() {
		defer s.cancel()
		defer e.streamEnded(s)
		if e.slots.acquire(s.ctx) != nil {
			return
		}
		defer e.slots.release()
		e.countServed()
		if e.crashIfMarked(j.body) {
			return
		}
		if e.produce(s, j) {
			s.finish()
		}
	})
	return s
}

func (e *Engine) streamEnded(s *stream) {
	e.streams.end(time.Now(), s, defaultStreamRetention)
}

// produce adds the tokens to the stream at the configured intervals. The delay
// of the first token shrinks with the cached share of the prompt. It returns
// false if the stream was cancelled.
func (e *Engine) produce(s *stream, j job) bool {
	chain := prefix.Chain(j.prefixText, maxChainBlocks)
	hits := e.cache.use(chain)
	first := e.config.FirstTokenDelay * time.Duration(len(chain)+1-hits) / time.Duration(len(chain)+1)
	if !sleep(s.ctx, first) {
		return false
	}
	e.delayAnswer(s.ctx)
	for i, token := range Answer(j.prompt, j.tokenCount) {
		if i > 0 && !sleep(s.ctx, e.config.TokenInterval) {
			return false
		}
		s.add(token)
	}
	return s.ctx.Err() == nil
}

func (e *Engine) handleModels(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	models := slices.Clone(e.models)
	e.mu.Unlock()
	list := modelList{Object: "list"}
	for _, name := range models {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "standin"})
	}
	writeJSON(w, http.StatusOK, list)
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// handleCancel cancels a stream.
func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	s := e.streams.get(r.PathValue("id"))
	if s == nil {
		writeError(w, http.StatusNotFound, "unknown_stream", "no stream with this id")
		return
	}
	s.cancel()
	w.WriteHeader(http.StatusNoContent)
}

// wait blocks until updated is closed, which means that the stream has
// changed. It returns false if the stream was cancelled before it finished or
// if ctx ends, which means that the client has disconnected.
func wait(ctx context.Context, s *stream, updated <-chan struct{}) bool {
	select {
	case <-updated:
		return true
	case <-s.ctx.Done():
		_, finished, _ := s.tokensFrom(0)
		return finished
	case <-ctx.Done():
		return false
	}
}
