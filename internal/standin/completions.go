package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"oleanderramp/internal/endpoint"
	"oleanderramp/pkg/prefix"
)

// The default and the maximum of max_tokens.
const (
	defaultTokens = 16
	maxTokens     = 16_384
)

// completionRequest is the request body of both text and chat completions.
type completionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// job is a parsed completion request.
type job struct {
	id     string
	model  string
	body   []byte
	prompt string
	// prefixText is the text that is split into prefix cache blocks.
	prefixText []byte
	// tokenCount is the number of tokens to generate.
	tokenCount int
	streaming  bool
	chat       bool
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) { e.complete(w, r, true) }
func (e *Engine) handleText(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) }

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	body, ok := e.admit(w, r)
	if !ok {
		return
	}
	j, err := e.newJob(body, chat)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	j.id = r.Header.Get(endpoint.HeaderRequest)
	s := e.generate(j)
	s.attach()
	defer s.detach(e.config.ResumeGrace)
	if j.streaming {
		e.writeStream(w, r, s, 0)
		return
	}
	e.writeComplete(w, r, s)
}

func (e *Engine) newJob(body []byte, chat bool) (job, error) {
	var request completionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return job{}, fmt.Errorf("decode the completion request: %w", err)
	}
	e.mu.Lock()
	known := slices.Contains(e.models, request.Model) || slices.Contains(e.adapters, request.Model)
	e.mu.Unlock()
	if request.Model != "" && !known {
		return job{}, fmt.Errorf("model %q is not loaded", request.Model)
	}
	if request.MaxTokens < 0 || request.MaxTokens > maxTokens {
		return job{}, fmt.Errorf("max_tokens must be from 0 to %d", maxTokens)
	}
	setDefault(&request.MaxTokens, defaultTokens)
	text, err := prefix.Prompt(body)
	if err != nil {
		return job{}, err
	}
	prompt := request.Prompt
	if chat {
		var parts []string
		for _, m := range request.Messages {
			parts = append(parts, m.Content)
		}
		prompt = strings.Join(parts, " ")
	}
	return job{
		model:      request.Model,
		body:       body,
		prompt:     prompt,
		prefixText: text,
		tokenCount: request.MaxTokens,
		streaming:  request.Stream,
		chat:       chat,
	}, nil
}

// completion is a complete response or one chunk of a streamed response.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func newUsage(prompt string, tokens int) *usage {
	promptTokens := 0
	for range strings.FieldsSeq(prompt) {
		promptTokens++
	}
	return &usage{PromptTokens: promptTokens, CompletionTokens: tokens, TotalTokens: promptTokens + tokens}
}

var finishStop = "stop"

// writeComplete waits for the complete answer and writes it as one document.
func (e *Engine) writeComplete(w http.ResponseWriter, r *http.Request, s *stream) {
	for {
		tokens, finished, updated := s.tokensFrom(0)
		if finished {
			document := completeDocument(s.job, strings.Join(tokens, ""))
			if _, on := e.faults.take(FaultTruncate); on {
				truncate(w, http.StatusOK, document)
			}
			writeJSON(w, http.StatusOK, document)
			return
		}
		if !wait(r.Context(), s, updated) {
			panic(http.ErrAbortHandler)
		}
	}
}

func completeDocument(j job, text string) completion {
	document := completion{ID: j.id, Object: "text_completion", Model: j.model, Usage: newUsage(j.prompt, j.tokenCount)}
	if j.chat {
		document.Object = "chat.completion"
		answer := &message{Role: "assistant", Content: text}
		document.Choices = []choice{{Message: answer, FinishReason: &finishStop}}
		return document
	}
	document.Choices = []choice{{Text: &text, FinishReason: &finishStop}}
	return document
}

// writeStream writes the server-sent events of a stream, starting with event
// number from. Each token is one event; a final event carries the finish reason
// and the usage.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	cut, truncating := e.faults.take(FaultTruncate)
	for next := from; ; {
		tokens, finished, updated := s.tokensFrom(next)
		for _, token := range tokens {
			if truncating && next-from >= cut.AfterEvents {
				_, _ = fmt.Fprint(w, `data: {"id":`)
				_ = controller.Flush()
				panic(http.ErrAbortHandler)
			}
			writeEvent(w, chunk(s.job, token))
			next++
		}
		if finished {
			if next == s.tokenCount {
				writeEvent(w, lastChunk(s.job))
			}
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		if controller.Flush() != nil || !wait(r.Context(), s, updated) {
			panic(http.ErrAbortHandler)
		}
	}
}

func writeEvent(w http.ResponseWriter, document completion) {
	data, _ := json.Marshal(document)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

func chunk(j job, token string) completion {
	document := completion{ID: j.id, Object: "text_completion", Model: j.model}
	if j.chat {
		document.Object = "chat.completion.chunk"
		document.Choices = []choice{{Delta: &delta{Content: token}}}
		return document
	}
	document.Choices = []choice{{Text: &token}}
	return document
}

func lastChunk(j job) completion {
	document := chunk(j, "")
	document.Choices[0].FinishReason = &finishStop
	document.Usage = newUsage(j.prompt, j.tokenCount)
	return document
}

// handleResume writes the remaining events of a stream, from the event number
// given in the query parameter from.
func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		writeError(w, http.StatusBadRequest, "invalid_from", "the query parameter from must be an event number of at least 0")
		return
	}
	id := r.PathValue("id")
	s := e.streams.get(id)
	if s == nil {
		writeError(w, http.StatusNotFound, "unknown_stream", "no stream with this id")
		return
	}
	w.Header().Set(endpoint.HeaderRequest, id)
	s.attach()
	defer s.detach(e.config.ResumeGrace)
	e.writeStream(w, r, s, from)
}
