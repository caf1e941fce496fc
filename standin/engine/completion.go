package engine

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/standin/record"
)

const (
	// CrashMarker in a prompt makes the engine that runs it crash.
	CrashMarker = "[[crash]]"
	// DefaultTokens is the number of generated tokens if the request gives no limit.
	DefaultTokens = 16
	// MaxTokens bounds the number of generated tokens.
	MaxTokens = 4096

	objectCompletion = "chat.completion"
	objectChunk      = "chat.completion.chunk"
	finishLength     = "length"
	roleAssistant    = "assistant"
)

// CompletionRequest contains the fields of the body of POST /v1/chat/completions that the
// engine reads.
type CompletionRequest struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	Stream              bool      `json:"stream"`
}

// Message is one message of a conversation. Its content is a string or a list of
// parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// contentPart is one part of the content of a message.
type contentPart struct {
	Text string `json:"text"`
}

// text returns the text of a message.
func (m Message) text() (string, error) {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", errors.New("content must be a string or a list of parts")
	}
	for _, p := range parts {
		text += p.Text
	}
	return text, nil
}

// prompt returns the texts of all messages, joined by line breaks.
func (c CompletionRequest) prompt() (string, error) {
	texts := make([]string, 0, len(c.Messages))
	for i, m := range c.Messages {
		text, err := m.text()
		if err != nil {
			return "", errors.Wrapf(err, "messages[%d]", i)
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, "\n"), nil
}

// tokens returns the number of tokens to generate.
func (c CompletionRequest) tokens() int {
	limit := max(c.MaxTokens, c.MaxCompletionTokens)
	if limit <= 0 {
		return DefaultTokens
	}
	return min(limit, MaxTokens)
}

// Answer returns the text that an engine generates for a prompt. It begins with the prompt's
// marker in double square brackets, or else with its hash, and goes on with words derived
// from the hash. Each word is a token.
func Answer(prompt string, tokens int) string {
	return strings.Join(generateTokens(prompt, tokens), "")
}

// generateTokens returns the tokens of the answer to a prompt, each with its leading space.
func generateTokens(prompt string, tokens int) []string {
	hash := xxhash.Sum64String(prompt)
	first := record.Marker([]byte(prompt))
	if first == "" {
		first = fmt.Sprintf("%016x", hash)
	}
	list := make([]string, 0, tokens)
	list = append(list, first)
	for i := 1; i < tokens; i++ {
		list = append(list, fmt.Sprintf(" w%x", (hash+uint64(i))%4096))
	}
	return list
}

// promptTokens returns the number of tokens of a prompt, one for each word.
func promptTokens(prompt string) int {
	return len(strings.Fields(prompt))
}

// Usage contains the token counts of a completion.
type Usage struct {
	PromptTokens     knapweedpulley.Tokens `json:"prompt_tokens"`
	CompletionTokens knapweedpulley.Tokens `json:"completion_tokens"`
	TotalTokens      knapweedpulley.Tokens `json:"total_tokens"`
}

func newUsage(prompt, completion int) *Usage {
	return &Usage{
		PromptTokens:     knapweedpulley.Tokens(prompt),
		CompletionTokens: knapweedpulley.Tokens(completion),
		TotalTokens:      knapweedpulley.Tokens(prompt + completion),
	}
}

// Completion is a whole response, or one chunk of a streamed response.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of a completion. The engine generates only one.
type Choice struct {
	Index        int     `json:"index"`
	Message      *Text   `json:"message,omitempty"`
	Delta        *Text   `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// Text is generated text.
type Text struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}
