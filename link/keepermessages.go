package link

import (
	"slices"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
)

func encodeGatewayMessage(n knapweedpulley.GatewayMessage) *linkpb.KeeperNote {
	m := &linkpb.KeeperNote{
		Endpoint: string(n.Endpoint), Demanded: n.HasDemands, Gateway: encodeGateway(n.Gateway),
		SentNanoseconds: int64(n.Sent),
	}
	if e, known := n.Engine.Get(); known {
		m.Engine = encodeEngine(e)
	}
	for _, r := range n.LoadRequests {
		m.Wakes = append(m.Wakes, &linkpb.KeeperWake{
			Model: string(r.Model), Adapter: string(r.Adapter),
			ExpiresNanoseconds: int64(r.Expires), Priority: int64(r.Priority),
		})
	}
	for _, d := range n.Demands {
		m.Demands = append(m.Demands, &linkpb.KeeperDemand{
			Model: string(d.Model), Adapter: string(d.Adapter),
			Active: int64(d.Active), Rate: d.Rate, Holders: int64(d.Holders), Spare: d.Redundant,
		})
	}
	return m
}

func decodeGatewayMessage(m *linkpb.KeeperNote) knapweedpulley.GatewayMessage {
	n := knapweedpulley.GatewayMessage{
		Endpoint:   knapweedpulley.EndpointID(m.GetEndpoint()),
		HasDemands: m.GetDemanded(),
		Gateway:    decodeGateway(m.GetGateway()),
		Sent:       knapweedpulley.Instant(m.GetSentNanoseconds()),
	}
	if e := m.GetEngine(); e != nil {
		n.Engine = knapweedpulley.Some(decodeEngine(e))
	}
	for _, r := range m.GetWakes() {
		n.LoadRequests = append(n.LoadRequests, knapweedpulley.ResidentLoadRequest{
			Resident: newResident(r.GetModel(), r.GetAdapter()),
			Expires:  time.Duration(r.GetExpiresNanoseconds()),
			Priority: int(r.GetPriority()),
		})
	}
	for _, d := range m.GetDemands() {
		n.Demands = append(n.Demands, knapweedpulley.ModelDemand{
			Resident:  newResident(d.GetModel(), d.GetAdapter()),
			Active:    int(d.GetActive()),
			Rate:      d.GetRate(),
			Holders:   int(d.GetHolders()),
			Redundant: d.GetSpare(),
		})
	}
	return n
}

func encodeEngine(e knapweedpulley.EngineSpec) *linkpb.KeeperEngine {
	m := &linkpb.KeeperEngine{
		Memory:       int64(e.Memory),
		AdapterSlots: int64(e.AdapterSlots), LoadsPerSecond: e.LoadsPerSecond,
	}
	for _, s := range e.Models {
		m.Models = append(m.Models, &linkpb.KeeperModel{
			Model: string(s.Model), Size: int64(s.Size), AdapterSize: int64(s.AdapterSize),
			LoadNanoseconds: int64(s.RemoteLoadTime), DiskNanoseconds: int64(s.DiskLoadTime), WarmNanoseconds: int64(s.MemoryLoadTime),
		})
	}
	return m
}

func decodeEngine(m *linkpb.KeeperEngine) knapweedpulley.EngineSpec {
	e := knapweedpulley.EngineSpec{
		Memory: knapweedpulley.Bytes(m.GetMemory()), AdapterSlots: int(m.GetAdapterSlots()),
		LoadsPerSecond: m.GetLoadsPerSecond(),
		Models:         make(map[knapweedpulley.ModelID]knapweedpulley.ModelSpec, len(m.GetModels())),
	}
	for _, s := range m.GetModels() {
		id := knapweedpulley.ModelID(s.GetModel())
		e.Models[id] = knapweedpulley.ModelSpec{
			Model: id, Size: knapweedpulley.Bytes(s.GetSize()), AdapterSize: knapweedpulley.Bytes(s.GetAdapterSize()),
			RemoteLoadTime: time.Duration(s.GetLoadNanoseconds()),
			DiskLoadTime:   time.Duration(s.GetDiskNanoseconds()),
			MemoryLoadTime: time.Duration(s.GetWarmNanoseconds()),
		}
	}
	return e
}

// encodeReportChange encodes a report without the models, cached checkpoints and
// gateways that are unchanged since the last report.
func encodeReportChange(r, last *knapweedpulley.EngineReport) *linkpb.KeeperReport {
	m := &linkpb.KeeperReport{
		Start: r.Start, Running: int64(r.Running), Waiting: int64(r.Waiting),
		CacheUsed: int64(r.CacheUsed), CacheSize: int64(r.CacheSize),
		Free: int64(r.Free), Evictable: int64(r.Evictable), Spare: int64(r.Redundant),
		LifetimeNanoseconds: int64(r.Lifetime), AgeNanoseconds: int64(r.Age),
		HeardNanoseconds: int64(r.Heard), ListingNanoseconds: int64(r.Listing), UptimeNanoseconds: int64(r.Uptime),
	}
	if last == nil || !knapweedpulley.SameModels(r.Models, last.Models) {
		m.Models = encodeModels(r.Models)
	}
	if last == nil || !slices.Equal(r.Cached, last.Cached) {
		m.Cached = &linkpb.KeeperCache{}
		for _, c := range r.Cached {
			m.Cached.Cached = append(m.Cached.Cached, &linkpb.KeeperCached{Model: string(c.Model), Tier: int64(c.Tier)})
		}
	}
	if last == nil || !slices.Equal(r.Gateways, last.Gateways) {
		m.Gateways = &linkpb.KeeperGateways{}
		for _, g := range r.Gateways {
			m.Gateways.Gateways = append(m.Gateways.Gateways, encodeGateway(g))
		}
	}
	for _, l := range r.Loading {
		m.Loading = append(m.Loading, &linkpb.KeeperLoading{
			Model: string(l.Model), Adapter: string(l.Adapter), Tier: int64(l.Tier), LeftNanoseconds: int64(l.Remaining),
		})
	}
	for _, q := range r.Queue {
		m.Queue = append(m.Queue, &linkpb.KeeperResident{Model: string(q.Model), Adapter: string(q.Adapter)})
	}
	return m
}

func encodeModels(models []knapweedpulley.LoadedModel) *linkpb.KeeperModels {
	m := &linkpb.KeeperModels{}
	for _, h := range models {
		held := &linkpb.KeeperHeld{Model: string(h.Model), State: string(h.State)}
		for _, a := range h.Adapters {
			// Gateways use only adapters that are loaded.
			if a.State == knapweedpulley.StateLoaded {
				held.Adapters = append(held.Adapters, string(a.Adapter))
			}
		}
		m.Models = append(m.Models, held)
	}
	return m
}

// decodeReportChange decodes a report and takes the omitted parts from the last
// report.
func decodeReportChange(m *linkpb.KeeperReport, last *knapweedpulley.EngineReport) knapweedpulley.EngineReport {
	r := knapweedpulley.EngineReport{
		Start: m.GetStart(), Running: int(m.GetRunning()), Waiting: int(m.GetWaiting()),
		CacheUsed: knapweedpulley.Tokens(m.GetCacheUsed()), CacheSize: knapweedpulley.Tokens(m.GetCacheSize()),
		Free:      knapweedpulley.Bytes(m.GetFree()),
		Evictable: knapweedpulley.Bytes(m.GetEvictable()),
		Redundant: knapweedpulley.Bytes(m.GetSpare()),
		Lifetime:  time.Duration(m.GetLifetimeNanoseconds()),
		Age:       time.Duration(m.GetAgeNanoseconds()),
		Heard:     knapweedpulley.Instant(m.GetHeardNanoseconds()),
		Listing:   time.Duration(m.GetListingNanoseconds()),
		Uptime:    time.Duration(m.GetUptimeNanoseconds()),
		Models:    last.Models, Cached: last.Cached, Gateways: last.Gateways,
	}
	if m.GetModels() != nil {
		r.Models = decodeModels(m.GetModels())
	}
	if m.GetCached() != nil {
		r.Cached = nil
		for _, c := range m.GetCached().GetCached() {
			r.Cached = append(r.Cached, knapweedpulley.CachedCheckpoint{
				Model: knapweedpulley.ModelID(c.GetModel()), Tier: knapweedpulley.CacheTier(c.GetTier()),
			})
		}
	}
	if m.GetGateways() != nil {
		r.Gateways = nil
		for _, g := range m.GetGateways().GetGateways() {
			r.Gateways = append(r.Gateways, decodeGateway(g))
		}
	}
	for _, l := range m.GetLoading() {
		r.Loading = append(r.Loading, knapweedpulley.LoadInProgress{
			Resident:  newResident(l.GetModel(), l.GetAdapter()),
			Tier:      knapweedpulley.CacheTier(l.GetTier()),
			Remaining: time.Duration(l.GetLeftNanoseconds()),
		})
	}
	for _, q := range m.GetQueue() {
		r.Queue = append(r.Queue, newResident(q.GetModel(), q.GetAdapter()))
	}
	return r
}

func decodeModels(m *linkpb.KeeperModels) []knapweedpulley.LoadedModel {
	models := make([]knapweedpulley.LoadedModel, 0, len(m.GetModels()))
	for _, h := range m.GetModels() {
		held := knapweedpulley.LoadedModel{
			Model: knapweedpulley.ModelID(h.GetModel()), State: knapweedpulley.LoadState(h.GetState()),
		}
		for _, a := range h.GetAdapters() {
			held.Adapters = append(held.Adapters, knapweedpulley.LoadedAdapter{
				Adapter: knapweedpulley.AdapterID(a), State: knapweedpulley.StateLoaded,
			})
		}
		models = append(models, held)
	}
	return models
}

func newResident(model, adapter string) knapweedpulley.Resident {
	return knapweedpulley.Resident{
		Model: knapweedpulley.ModelID(model), Adapter: knapweedpulley.AdapterID(adapter),
	}
}

func encodeGateway(g knapweedpulley.Member) *linkpb.KeeperGateway {
	return &linkpb.KeeperGateway{
		Id: string(g.Entry), Incarnation: uint64(g.Incarnation), Zone: string(g.Zone), Address: g.Address,
	}
}

func decodeGateway(m *linkpb.KeeperGateway) knapweedpulley.Member {
	return knapweedpulley.Member{
		Entry: knapweedpulley.EntryID(m.GetId()), Incarnation: knapweedpulley.Incarnation(m.GetIncarnation()),
		Zone: knapweedpulley.ZoneID(m.GetZone()), Address: m.GetAddress(),
	}
}
