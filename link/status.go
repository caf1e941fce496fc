package link

import (
	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
)

func encodeStatus(s knapweedpulley.EndpointStatus) *linkpb.Status {
	encoded := &linkpb.Status{
		Endpoint:      string(s.Endpoint),
		Machine:       string(s.Machine),
		Zone:          string(s.Zone),
		Incarnation:   uint64(s.Incarnation),
		Draining:      s.Draining,
		Memory:        int64(s.Engine.Memory),
		FreeMemory:    int64(s.FreeMemory),
		EngineRunning: int32(s.Engine.Running),
		EngineWaiting: int32(s.Engine.Waiting),
		Slots:         int32(s.Engine.Slots),
		Starts:        s.Engine.Starts,
		FencingToken:  uint64(s.Engine.FencingToken),
		Queued:        int32(s.Queued),
		Running:       int32(s.Running),
		QueuedTokens:  int64(s.QueuedTokens),
	}
	for _, r := range s.Routes {
		encoded.Routes = append(encoded.Routes, string(r))
	}
	for _, m := range s.Engine.Models {
		encoded.Models = append(encoded.Models, encodeModel(m))
	}
	for _, c := range s.Engine.Cached {
		encoded.Cached = append(encoded.Cached, &linkpb.Checkpoint{Model: string(c.Model), Tier: int32(c.Tier)})
	}
	for _, c := range s.Crashes {
		encoded.Crashes = append(encoded.Crashes, encodeCrash(c))
	}
	return encoded
}

func decodeStatus(encoded *linkpb.Status) knapweedpulley.EndpointStatus {
	s := knapweedpulley.EndpointStatus{
		Endpoint:     knapweedpulley.EndpointID(encoded.GetEndpoint()),
		Machine:      knapweedpulley.MachineID(encoded.GetMachine()),
		Zone:         knapweedpulley.ZoneID(encoded.GetZone()),
		Incarnation:  knapweedpulley.Incarnation(encoded.GetIncarnation()),
		Draining:     encoded.GetDraining(),
		FreeMemory:   knapweedpulley.Bytes(encoded.GetFreeMemory()),
		Queued:       int(encoded.GetQueued()),
		Running:      int(encoded.GetRunning()),
		QueuedTokens: knapweedpulley.Tokens(encoded.GetQueuedTokens()),
	}
	s.Engine = knapweedpulley.EngineState{
		Memory:       knapweedpulley.Bytes(encoded.GetMemory()),
		Running:      int(encoded.GetEngineRunning()),
		Waiting:      int(encoded.GetEngineWaiting()),
		Slots:        int(encoded.GetSlots()),
		Starts:       encoded.GetStarts(),
		FencingToken: knapweedpulley.FencingToken(encoded.GetFencingToken()),
	}
	for _, r := range encoded.GetRoutes() {
		s.Routes = append(s.Routes, knapweedpulley.RouteID(r))
	}
	for _, m := range encoded.GetModels() {
		s.Engine.Models = append(s.Engine.Models, decodeModel(m))
	}
	for _, c := range encoded.GetCached() {
		s.Engine.Cached = append(s.Engine.Cached, knapweedpulley.CachedCheckpoint{
			Model: knapweedpulley.ModelID(c.GetModel()),
			Tier:  knapweedpulley.CacheTier(c.GetTier()),
		})
	}
	for _, c := range encoded.GetCrashes() {
		s.Crashes = append(s.Crashes, decodeCrash(s.Endpoint, c))
	}
	return s
}

func encodeModel(m knapweedpulley.LoadedModel) *linkpb.Model {
	encoded := &linkpb.Model{Model: string(m.Model), Size: int64(m.Size), State: string(m.State)}
	for _, a := range m.Adapters {
		encoded.Adapters = append(encoded.Adapters, &linkpb.Adapter{
			Adapter: string(a.Adapter),
			Size:    int64(a.Size),
			State:   string(a.State),
		})
	}
	return encoded
}

func decodeModel(encoded *linkpb.Model) knapweedpulley.LoadedModel {
	m := knapweedpulley.LoadedModel{
		Model: knapweedpulley.ModelID(encoded.GetModel()),
		Size:  knapweedpulley.Bytes(encoded.GetSize()),
		State: knapweedpulley.LoadState(encoded.GetState()),
	}
	for _, a := range encoded.GetAdapters() {
		m.Adapters = append(m.Adapters, knapweedpulley.LoadedAdapter{
			Adapter: knapweedpulley.AdapterID(a.GetAdapter()),
			Size:    knapweedpulley.Bytes(a.GetSize()),
			State:   knapweedpulley.LoadState(a.GetState()),
		})
	}
	return m
}

func encodeCrash(r knapweedpulley.SuspectReport) *linkpb.Crash {
	encoded := &linkpb.Crash{Start: r.Start, Isolated: r.Isolated}
	for _, f := range r.Fingerprints {
		encoded.Fingerprints = append(encoded.Fingerprints, uint64(f))
	}
	return encoded
}

func decodeCrash(endpoint knapweedpulley.EndpointID, encoded *linkpb.Crash) knapweedpulley.SuspectReport {
	r := knapweedpulley.SuspectReport{
		Endpoint: endpoint,
		Start:    encoded.GetStart(),
		Isolated: encoded.GetIsolated(),
	}
	for _, f := range encoded.GetFingerprints() {
		r.Fingerprints = append(r.Fingerprints, knapweedpulley.Fingerprint(f))
	}
	return r
}
