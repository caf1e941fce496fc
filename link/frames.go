package link

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
)

func encodeRun(attempt string, agentTime knapweedpulley.Instant, r *knapweedpulley.Request) *linkpb.Run {
	run := &linkpb.Run{
		Attempt:     attempt,
		StampNs:     int64(agentTime),
		Request:     string(r.ID),
		Kind:        int32(r.Kind),
		Customer:    string(r.Customer),
		Key:         string(r.Key),
		Model:       string(r.Model),
		Route:       string(r.Route),
		Method:      r.Method,
		Path:        r.Path,
		Query:       r.Query,
		Header:      encodeHeader(r.Header),
		Body:        r.Body,
		Stream:      r.Stream,
		Charge:      int64(r.Charge),
		Weight:      float64(r.Weight),
		Priority:    int32(r.Priority),
		Idempotent:  r.Idempotent,
		Isolated:    r.Isolated,
		Fingerprint: uint64(r.Fingerprint),
		Prefix:      uint64(r.Prefix),
		TimeoutNs:   int64(r.Timeout),
	}
	if adapter, ok := r.Adapter.Get(); ok {
		name := string(adapter)
		run.Adapter = &name
	}
	return run
}

func decodeRun(run *linkpb.Run) knapweedpulley.Request {
	r := knapweedpulley.Request{
		ID:          knapweedpulley.RequestID(run.GetRequest()),
		Kind:        knapweedpulley.RequestKind(run.GetKind()),
		Customer:    knapweedpulley.CustomerID(run.GetCustomer()),
		Key:         knapweedpulley.KeyID(run.GetKey()),
		Model:       knapweedpulley.ModelID(run.GetModel()),
		Route:       knapweedpulley.RouteID(run.GetRoute()),
		Method:      run.GetMethod(),
		Path:        run.GetPath(),
		Query:       run.GetQuery(),
		Header:      decodeHeader(run.GetHeader()),
		Body:        run.GetBody(),
		Stream:      run.GetStream(),
		Charge:      knapweedpulley.Tokens(run.GetCharge()),
		Weight:      knapweedpulley.Weight(run.GetWeight()),
		Priority:    int(run.GetPriority()),
		Idempotent:  run.GetIdempotent(),
		Isolated:    run.GetIsolated(),
		Fingerprint: knapweedpulley.Fingerprint(run.GetFingerprint()),
		Prefix:      knapweedpulley.Fingerprint(run.GetPrefix()),
		Timeout:     time.Duration(run.GetTimeoutNs()),
	}
	if run.Adapter != nil {
		r.Adapter = knapweedpulley.Some(knapweedpulley.AdapterID(run.GetAdapter()))
	}
	return r
}

func encodeHeader(fields []knapweedpulley.HeaderField) []*linkpb.HeaderField {
	encoded := make([]*linkpb.HeaderField, 0, len(fields))
	for _, f := range fields {
		encoded = append(encoded, &linkpb.HeaderField{Name: f.Name, Value: f.Value})
	}
	return encoded
}

func decodeHeader(encoded []*linkpb.HeaderField) []knapweedpulley.HeaderField {
	fields := make([]knapweedpulley.HeaderField, 0, len(encoded))
	for _, f := range encoded {
		fields = append(fields, knapweedpulley.HeaderField{Name: f.GetName(), Value: f.GetValue()})
	}
	return fields
}

// encodeRefusal returns nil for a nil error.
func encodeRefusal(err error, fallback knapweedpulley.Code) *linkpb.Refusal {
	if err == nil {
		return nil
	}
	r := knapweedpulley.RefusalOf(err, fallback)
	return &linkpb.Refusal{
		Code:         string(r.Code),
		NotRun:       r.Verdict == knapweedpulley.NotRun,
		Message:      r.Message,
		RetryAfterNs: int64(r.RetryAfter),
	}
}

// decodeRefusal returns nil for a nil message.
func decodeRefusal(encoded *linkpb.Refusal) error {
	if encoded == nil {
		return nil
	}
	verdict := knapweedpulley.MayHaveRun
	if encoded.GetNotRun() {
		verdict = knapweedpulley.NotRun
	}
	return &knapweedpulley.Refusal{
		Code:       knapweedpulley.Code(encoded.GetCode()),
		Verdict:    verdict,
		Message:    encoded.GetMessage(),
		RetryAfter: time.Duration(encoded.GetRetryAfterNs()),
	}
}

func encodeDone(attempt string, length knapweedpulley.Offset, u knapweedpulley.Usage, err error) *linkpb.Done {
	return &linkpb.Done{
		Attempt:    attempt,
		Length:     int64(length),
		Prompt:     int64(u.Prompt),
		Completion: int64(u.Completion),
		Cached:     int64(u.Cached),
		Refusal:    encodeRefusal(err, knapweedpulley.CodeEngineFailed),
	}
}

func decodeUsage(d *linkpb.Done) knapweedpulley.Usage {
	return knapweedpulley.Usage{
		Prompt:     knapweedpulley.Tokens(d.GetPrompt()),
		Completion: knapweedpulley.Tokens(d.GetCompletion()),
		Cached:     knapweedpulley.Tokens(d.GetCached()),
	}
}

func encodeOrder(id string, agentTime knapweedpulley.Instant, o knapweedpulley.Order) *linkpb.Order {
	return &linkpb.Order{
		Id:        id,
		Kind:      string(o.Kind),
		Model:     string(o.Model),
		Adapter:   string(o.Adapter),
		Size:      int64(o.Size),
		Permit:    uint64(o.Permit),
		TimeoutNs: int64(o.Timeout),
		StampNs:   int64(agentTime),
	}
}

func decodeOrder(o *linkpb.Order) knapweedpulley.Order {
	return knapweedpulley.Order{
		Kind:    knapweedpulley.OrderKind(o.GetKind()),
		Model:   knapweedpulley.ModelID(o.GetModel()),
		Adapter: knapweedpulley.AdapterID(o.GetAdapter()),
		Size:    knapweedpulley.Bytes(o.GetSize()),
		Permit:  knapweedpulley.Revision(o.GetPermit()),
		Timeout: time.Duration(o.GetTimeoutNs()),
	}
}
