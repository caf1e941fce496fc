package traffic

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/openai/openai-go/v3"

	"github.com/knapweedpulley/knapweedpulley/standin/engine"
)

// chatTokens is the length of each answer in tokens.
const chatTokens = 24

// expectedCompletion is the text and the number of tokens with which a chat request
// must be answered.
type expectedCompletion struct {
	text   string
	tokens int64
}

// check compares the text and the usage of an answer with the expected ones.
func (a expectedCompletion) check(text string, usage openai.CompletionUsage) error {
	switch {
	case text != a.text:
		return errors.Newf("got %q, want %q", text, a.text)
	case usage.CompletionTokens != a.tokens:
		return errors.Newf("usage counts %d tokens, want %d", usage.CompletionTokens, a.tokens)
	default:
		return nil
	}
}

// sendChat sends one chat request to the i-th entry and adds its result to the tally.
func (c *caller) sendChat(ctx context.Context, i int, kind, model string, stream bool) {
	prompt := c.marker() + " What is left of my order, and when is it due?"
	want := expectedCompletion{text: engine.Answer(prompt, chatTokens), tokens: chatTokens}
	parameters := openai.ChatCompletionNewParams{
		Model:     model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxTokens: openai.Int(chatTokens),
	}
	client := c.newChatClient(i, c.customer.Key)
	form, ask := "whole", requestWhole
	if stream {
		form, ask = "streamed", requestStreamed
	}
	kind += ", " + form
	if err := ask(ctx, client, parameters, want); err != nil {
		outcome, text := judgeChat(err)
		c.add(kind, outcome, "%s: %s", model, text)
		return
	}
	c.add(kind, Answered, "")
}

// requestWhole sends a request for an answer in one piece and checks the answer.
func requestWhole(
	ctx context.Context, client openai.Client, parameters openai.ChatCompletionNewParams, want expectedCompletion,
) error {
	answer, err := client.Chat.Completions.New(ctx, parameters)
	if err != nil {
		return err
	}
	if len(answer.Choices) != 1 {
		return errors.Newf("got %d choices, want 1", len(answer.Choices))
	}
	return want.check(answer.Choices[0].Message.Content, answer.Usage)
}

// requestStreamed sends a request for a streamed answer and checks the answer.
func requestStreamed(
	ctx context.Context, client openai.Client, parameters openai.ChatCompletionNewParams, want expectedCompletion,
) error {
	parameters.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := client.Chat.Completions.NewStreaming(ctx, parameters)
	defer func() { _ = stream.Close() }()
	accumulator := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		if !accumulator.AddChunk(stream.Current()) {
			return errors.New("stream has chunks of different answers")
		}
	}
	if err := stream.Err(); err != nil {
		return err
	}
	if len(accumulator.Choices) != 1 {
		return errors.Newf("got %d choices, want 1", len(accumulator.Choices))
	}
	return want.check(accumulator.Choices[0].Message.Content, accumulator.Usage)
}

// refusalOf returns the refusal in an error of the chat client, and false if the
// error has none. It reads the body of the response, so it can be called only once
// for each error.
func refusalOf(err error) (refusal, bool) {
	var failed *openai.Error
	if !errors.As(err, &failed) || failed.Response == nil {
		return refusal{}, false
	}
	body, readErr := io.ReadAll(failed.Response.Body)
	if readErr != nil {
		return refusal{}, false
	}
	return parseRefusal(failed.StatusCode, failed.Response.Header, body), true
}

// judgeChat returns the outcome of a chat request that failed with err although it
// should have been answered, and a text that describes the failure.
func judgeChat(err error) (Outcome, string) {
	if r, ok := refusalOf(err); ok {
		return r.judgeUnexpected(), r.String()
	}
	return Wrong, err.Error()
}

// chatRefused sends a chat request that must be refused and adds its result to the
// tally.
func (c *caller) chatRefused(ctx context.Context, kind, key, model string, want expectation) {
	client := c.newChatClient(0, key)
	_, err := client.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	})
	r, ok := refusalOf(err)
	if !ok {
		c.add(kind, Wrong, "no refusal but %v", err)
		return
	}
	c.add(kind, want.judge(r), "%s", r)
}
