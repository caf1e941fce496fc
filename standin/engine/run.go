package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley/standin/record"
	"github.com/knapweedpulley/knapweedpulley/standin/web"
)

// errCrashed reports that the engine crashed while it ran a request.
var errCrashed = errors.New("engine crashed")

// completionRun is one chat completion that the engine runs.
type completionRun struct {
	engine      *Engine
	incarnation incarnation
	ctx         context.Context
	id          string
	request     CompletionRequest
	prompt      string
	items       []*item
}

// chat serves POST /v1/chat/completions.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	body, err := e.recorder.RecordRequest(r)
	if err != nil {
		return
	}
	u := &completionRun{engine: e, ctx: r.Context(), id: r.Header.Get(record.HeaderRequestID)}
	if err := json.Unmarshal(body, &u.request); err != nil {
		web.WriteError(w, http.StatusBadRequest, "invalidRequest", err.Error())
		return
	}
	if u.prompt, err = u.request.prompt(); err != nil {
		web.WriteError(w, http.StatusBadRequest, "invalidRequest", err.Error())
		return
	}
	if refused := e.acquireItems(u); refused != nil {
		web.WriteError(w, refused.Status, refused.Code, refused.Message)
		return
	}
	defer e.releaseItems(u)
	e.recorder.RecordRun(u.id, body)
	if err := u.serve(w); errors.Is(err, errCrashed) {
		web.Reset(w)
	}
}

// acquireItems finds the model and adapter that a request needs and prevents their unloading
// until releaseItems.
func (e *Engine) acquireItems(u *completionRun) *OrderError {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.restarting() {
		return orderErrorf(http.StatusServiceUnavailable, "restarting", "the engine is restarting")
	}
	u.items = e.memory.find(u.request.Model)
	if len(u.items) == 0 {
		return orderErrorf(http.StatusNotFound, "modelNotFound", "%q is not loaded", u.request.Model)
	}
	for _, i := range u.items {
		i.acquire()
	}
	u.incarnation = e.incarnation
	return nil
}

func (e *Engine) releaseItems(u *completionRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, i := range u.items {
		i.release()
	}
}

// serve waits for a slot, generates the answer and writes the response.
func (u *completionRun) serve(w http.ResponseWriter) error {
	if err := u.acquireSlot(); err != nil {
		return err
	}
	defer u.releaseSlot()
	prompt := promptTokens(u.prompt)
	if err := u.simulateWork(time.Duration(prompt) * time.Duration(u.engine.settings.PromptTime)); err != nil {
		return err
	}
	if strings.Contains(u.prompt, CrashMarker) {
		u.engine.Crash()
		return errCrashed
	}
	tokens := generateTokens(u.prompt, u.request.tokens())
	usage := newUsage(prompt, len(tokens))
	if u.request.Stream {
		return u.streamCompletion(w, tokens, usage)
	}
	return u.writeCompletion(w, tokens, usage)
}

// acquireSlot waits for a free slot in the batch.
func (u *completionRun) acquireSlot() error {
	u.engine.addRequests(0, 1)
	defer u.engine.addRequests(0, -1)
	select {
	case u.engine.slots <- struct{}{}:
		u.engine.addRequests(1, 0)
		return nil
	case <-u.incarnation.ctx.Done():
		return errCrashed
	case <-u.ctx.Done():
		return u.ctx.Err()
	}
}

func (u *completionRun) releaseSlot() {
	<-u.engine.slots
	u.engine.addRequests(-1, 0)
}

// simulateWork waits for d. It returns an error if the engine crashes or the caller
// disconnects first.
func (u *completionRun) simulateWork(d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-u.incarnation.ctx.Done():
	case <-u.ctx.Done():
		return u.ctx.Err()
	}
	if u.incarnation.ctx.Err() != nil {
		return errCrashed
	}
	return nil
}

func (u *completionRun) completion(object string) Completion {
	return Completion{
		ID:      "chatcmpl-" + u.id,
		Object:  object,
		Created: time.Now().Unix(),
		Model:   u.request.Model,
		Choices: []Choice{},
	}
}

func (u *completionRun) writeCompletion(w http.ResponseWriter, tokens []string, usage *Usage) error {
	if err := u.simulateWork(time.Duration(len(tokens)) * time.Duration(u.engine.settings.TokenTime)); err != nil {
		return err
	}
	finish := finishLength
	c := u.completion(objectCompletion)
	c.Usage = usage
	c.Choices = append(c.Choices, Choice{
		Message:      &Text{Role: roleAssistant, Content: strings.Join(tokens, "")},
		FinishReason: &finish,
	})
	web.Write(w, http.StatusOK, c)
	return nil
}

// streamCompletion sends each token as a server-sent event as soon as it is generated.
func (u *completionRun) streamCompletion(w http.ResponseWriter, tokens []string, usage *Usage) error {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	finish := finishLength
	for i, t := range tokens {
		if err := u.simulateWork(time.Duration(u.engine.settings.TokenTime)); err != nil {
			return err
		}
		c := u.completion(objectChunk)
		c.Choices = append(c.Choices, Choice{Delta: &Text{Content: t}})
		if i == 0 {
			c.Choices[0].Delta.Role = roleAssistant
		}
		if i == len(tokens)-1 {
			c.Choices[0].FinishReason = &finish
		}
		if err := sendEvent(w, c); err != nil {
			return err
		}
	}
	last := u.completion(objectChunk)
	last.Usage = usage
	if err := sendEvent(w, last); err != nil {
		return err
	}
	return sendData(w, []byte("[DONE]"))
}

func sendEvent(w http.ResponseWriter, c Completion) error {
	data, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	return sendData(w, data)
}

func sendData(w http.ResponseWriter, data []byte) error {
	line := append([]byte("data: "), data...)
	if _, err := w.Write(append(line, "\n\n"...)); err != nil {
		return errors.Wrap(err, "send event")
	}
	return errors.Wrap(http.NewResponseController(w).Flush(), "send event")
}
