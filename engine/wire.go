package engine

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// orderMessage is the body of an order sent to an engine.
type orderMessage struct {
	Kind    knapweedpulley.OrderKind    `json:"kind"`
	Model   knapweedpulley.ModelID      `json:"model"`
	Adapter knapweedpulley.AdapterID    `json:"adapter,omitempty"`
	Size    knapweedpulley.Bytes        `json:"size"`
	Token   knapweedpulley.FencingToken `json:"token"`
	Timeout string                      `json:"timeout,omitempty"`
}

func newOrderMessage(o knapweedpulley.Order) orderMessage {
	m := orderMessage{Kind: o.Kind, Model: o.Model, Adapter: o.Adapter, Size: o.Size, Token: o.Token}
	if o.Timeout > 0 {
		m.Timeout = o.Timeout.Round(time.Millisecond).String()
	}
	return m
}

// stateMessage is the engine's answer to a request for its state.
type stateMessage struct {
	Memory       knapweedpulley.Bytes        `json:"memory"`
	Models       []modelMessage              `json:"models"`
	Cached       []cachedMessage             `json:"cached"`
	Running      int                         `json:"running"`
	Waiting      int                         `json:"waiting"`
	Slots        int                         `json:"slots"`
	Starts       uint64                      `json:"starts"`
	FencingToken knapweedpulley.FencingToken `json:"fencingToken"`
}

type modelMessage struct {
	Model    knapweedpulley.ModelID   `json:"model"`
	Size     knapweedpulley.Bytes     `json:"size"`
	State    knapweedpulley.LoadState `json:"state"`
	Adapters []adapterMessage         `json:"adapters"`
}

type adapterMessage struct {
	Adapter knapweedpulley.AdapterID `json:"adapter"`
	Size    knapweedpulley.Bytes     `json:"size"`
	State   knapweedpulley.LoadState `json:"state"`
}

type cachedMessage struct {
	Model knapweedpulley.ModelID   `json:"model"`
	Tier  knapweedpulley.CacheTier `json:"tier"`
}

func (m stateMessage) state() knapweedpulley.EngineState {
	s := knapweedpulley.EngineState{
		Memory: m.Memory, Running: m.Running, Waiting: m.Waiting,
		Slots: m.Slots, Starts: m.Starts, FencingToken: m.FencingToken,
	}
	for _, l := range m.Models {
		s.Models = append(s.Models, l.model())
	}
	for _, c := range m.Cached {
		s.Cached = append(s.Cached, knapweedpulley.CachedCheckpoint{Model: c.Model, Tier: c.Tier})
	}
	return s
}

func (m modelMessage) model() knapweedpulley.LoadedModel {
	l := knapweedpulley.LoadedModel{Model: m.Model, Size: m.Size, State: m.State}
	for _, a := range m.Adapters {
		l.Adapters = append(l.Adapters, knapweedpulley.LoadedAdapter{Adapter: a.Adapter, Size: a.Size, State: a.State})
	}
	return l
}

// usageMessage is the part of a completion that holds the usage. Its field names are those
// of the API that callers use.
type usageMessage struct {
	Usage *struct {
		Prompt     knapweedpulley.Tokens `json:"prompt_tokens"`
		Completion knapweedpulley.Tokens `json:"completion_tokens"`
		Details    struct {
			Cached knapweedpulley.Tokens `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}
