package entry

import (
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/customer"
)

const (
	// defaultMaxCompletion bounds the completion of a request that sets no
	// bound itself.
	defaultMaxCompletion knapweedpulley.Tokens = 512
	// prefixLength is the length in bytes of the start of the messages whose hash
	// identifies a prompt in prefix caches.
	prefixLength = 512
)

// chatBody is the part of a chat completion request that the entry reads.
type chatBody struct {
	fields              map[string]json.RawMessage
	Model               string
	Messages            json.RawMessage
	Stream              bool
	MaxTokens           *int64
	MaxCompletionTokens *int64
	Choices             *int64
}

// chat answers POST /v1/chat/completions.
func (f *frontEnd) chat(w http.ResponseWriter, r *http.Request) {
	c, refusal := f.authenticate(r)
	if refusal != nil {
		f.refuse(w, "", refusal)
		return
	}
	body, refusal := f.readBody(w, r, c)
	if refusal != nil {
		f.refuse(w, c.customer.ID, refusal)
		return
	}
	defer body.Release()
	request, refusal := newChat(c, r, body.Data)
	if refusal != nil {
		f.refuse(w, c.customer.ID, refusal)
		return
	}
	f.serve(w, r, c, request, c.customer.Deadline)
}

// newChat returns the request for the body of a chat completion request.
func newChat(c *caller, r *http.Request, body []byte) (*knapweedpulley.Request, *knapweedpulley.Refusal) {
	chat, refusal := parseChat(body)
	if refusal != nil {
		return nil, refusal
	}
	request := newRequest(c, r, body)
	request.Kind = knapweedpulley.KindChat
	request.Path = "/v1/chat/completions"
	request.Stream = chat.Stream
	request.Idempotent = true
	if refusal := setModel(request, c.customer, chat.Model); refusal != nil {
		return nil, refusal
	}
	completion := chat.maxCompletion()
	if chat.MaxTokens == nil && chat.MaxCompletionTokens == nil {
		bounded, err := chat.withMaxTokens(completion)
		if err != nil {
			return nil, invalid("%v", err)
		}
		request.Body = bounded
	}
	// A token has at least one byte, so the length in bytes bounds the prompt's
	// tokens.
	request.Charge = knapweedpulley.Tokens(len(chat.Messages)) + completion*chat.choices()
	request.Prefix = knapweedpulley.Fingerprint(xxhash.Sum64(chat.Messages[:min(len(chat.Messages), prefixLength)]))
	return request, nil
}

// parseChat parses a chat completion request. It matches the names of fields
// exactly: decoding into a struct would also accept names in another case, which
// the engine ignores.
func parseChat(body []byte) (chatBody, *knapweedpulley.Refusal) {
	var chat chatBody
	if err := json.Unmarshal(body, &chat.fields); err != nil {
		return chat, invalid("the body is not a chat completion request: %v", err)
	}
	targets := []struct {
		name   string
		target any
	}{
		{"model", &chat.Model},
		{"stream", &chat.Stream},
		{"messages", &chat.Messages},
		{"max_tokens", &chat.MaxTokens},
		{"max_completion_tokens", &chat.MaxCompletionTokens},
		{"n", &chat.Choices},
	}
	for _, t := range targets {
		value, ok := chat.fields[t.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(value, t.target); err != nil {
			return chat, invalid("%s: %v", t.name, err)
		}
	}
	return chat, chat.check()
}

// check refuses values that no engine accepts.
func (b *chatBody) check() *knapweedpulley.Refusal {
	var messages []json.RawMessage
	if err := json.Unmarshal(b.Messages, &messages); err != nil || len(messages) == 0 {
		return invalid("messages: must be a list with at least one message")
	}
	if b.Model == "" {
		return invalid("model: must not be empty")
	}
	counts := []struct {
		name  string
		value *int64
	}{{"max_tokens", b.MaxTokens}, {"max_completion_tokens", b.MaxCompletionTokens}, {"n", b.Choices}}
	for _, c := range counts {
		if c.value != nil && (*c.value < 1 || *c.value > maxCount) {
			return invalid("%s: %d must be from 1 to %d", c.name, *c.value, maxCount)
		}
	}
	return nil
}

// maxCount bounds the counts in a request, so that their product does not
// overflow.
const maxCount = 1 << 20

// maxCompletion returns the maximum number of tokens of one completion.
func (b *chatBody) maxCompletion() knapweedpulley.Tokens {
	switch {
	case b.MaxCompletionTokens != nil:
		return knapweedpulley.Tokens(*b.MaxCompletionTokens)
	case b.MaxTokens != nil:
		return knapweedpulley.Tokens(*b.MaxTokens)
	default:
		return defaultMaxCompletion
	}
}

func (b *chatBody) choices() knapweedpulley.Tokens {
	if b.Choices == nil {
		return 1
	}
	return knapweedpulley.Tokens(*b.Choices)
}

// withMaxTokens returns the body with max_tokens set, so that the charge is an
// upper bound of the usage.
func (b *chatBody) withMaxTokens(completion knapweedpulley.Tokens) ([]byte, error) {
	value, err := json.Marshal(completion)
	if err != nil {
		return nil, err
	}
	b.fields["max_tokens"] = value
	return json.Marshal(b.fields)
}

// setModel sets the base model, and the adapter if the name is that of an adapter.
func setModel(
	request *knapweedpulley.Request, c *customer.Customer, name string,
) *knapweedpulley.Refusal {
	if m, ok := c.Models[knapweedpulley.ModelID(name)]; ok {
		request.Model = m.ID
		return nil
	}
	if a, ok := c.Adapters[knapweedpulley.AdapterID(name)]; ok {
		request.Model = a.Model
		request.Adapter = knapweedpulley.Some(a.ID)
		return nil
	}
	return knapweedpulley.NewRefusal(knapweedpulley.CodeModelNotFound, knapweedpulley.NotRun,
		"model %q is not a model or adapter of this customer", name)
}

func invalid(format string, args ...any) *knapweedpulley.Refusal {
	return knapweedpulley.NewRefusal(knapweedpulley.CodeInvalidRequest, knapweedpulley.NotRun, format, args...)
}
