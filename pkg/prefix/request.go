package prefix

import (
	"encoding/json"
	"fmt"
)

// request holds the fields of an OpenAI-style request that make up its prompt.
type request struct {
	Model    string          `json:"model"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// Prompt returns the text to hash for an OpenAI-style completion or chat
// request: the model, followed by the prompt or the messages. The text only has
// to be the same in routers and engines.
func Prompt(body []byte) ([]byte, error) {
	var r request
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("decode request: %w", err)
	}
	text := append([]byte(r.Model), '\n')
	text = append(text, content(r.Prompt)...)
	for _, message := range r.Messages {
		text = append(text, message.Role...)
		text = append(text, '\n')
		text = append(text, content(message.Content)...)
		text = append(text, '\n')
	}
	return text, nil
}

// content returns the decoded text of a JSON string, and any other value as
// raw JSON.
func content(raw json.RawMessage) []byte {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return []byte(text)
	}
	return raw
}
