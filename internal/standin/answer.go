package standin

import (
	"strings"
)

// Answer returns the tokens that an engine generates for a prompt: the words
// of the prompt, repeated in order. Each caller can therefore check that it
// received the complete answer to its own request.
func Answer(prompt string, tokens int) []string {
	// A prompt of some megabytes has a million words, of which few are used.
	var words []string
	for word := range strings.FieldsSeq(prompt) {
		if len(words) >= tokens {
			break
		}
		words = append(words, word)
	}
	if len(words) == 0 {
		words = []string{"empty"}
	}
	answer := make([]string, tokens)
	for i := range answer {
		answer[i] = words[i%len(words)] + " "
	}
	return answer
}
