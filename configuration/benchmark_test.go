package configuration

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/customer"
)

const (
	// The planned load has 21,000 adapters. Here they are divided among 100 customers.
	benchmarkCustomers = 100
	benchmarkAdapters  = 210
)

// adapterTemplate returns a template with many adapters and a parameter.
func adapterTemplate(b *testing.B, name string) json.RawMessage {
	b.Helper()
	t := map[string]any{
		"customer": name, "rate": "${rate}", "burst": 1000,
		"models": []customer.ModelTemplate{{ID: "base", Size: knapweedpulley.GiB, Replicas: 1}},
	}
	adapters := make([]customer.AdapterTemplate, benchmarkAdapters)
	for i := range adapters {
		id := knapweedpulley.AdapterID(fmt.Sprintf("%s-adapter-%d", name, i))
		adapters[i] = customer.AdapterTemplate{ID: id, Model: "base", Size: knapweedpulley.MiB}
	}
	t["adapters"] = adapters
	text, err := json.Marshal(t)
	is.New(b).NoErr(err)
	return text
}

// versions returns the encoded record of a customer after each of n changes of
// a parameter.
func versions(b *testing.B, name string, n int) [][]byte {
	b.Helper()
	is := is.New(b)
	text := adapterTemplate(b, name)
	var record customer.Record
	var result [][]byte
	for i := range n {
		author := customer.Author{Operator: "olga", Time: time.Unix(int64(i), 0), Change: "change"}
		parameters := customer.Parameters{"rate": json.RawMessage(fmt.Sprint(100 + i))}
		var err error
		record, err = record.Apply(author, text, parameters)
		is.NoErr(err)
		data, err := record.Encode()
		is.NoErr(err)
		result = append(result, data)
	}
	return result
}

// BenchmarkChange reports the size of a change of a parameter in the store, in the memory of an
// entry process and in the update to a subscriber, and the size of the whole collection.
func BenchmarkChange(b *testing.B) {
	const changes = 12
	table := newTable(Collection{
		Kind: knapweedpulley.KindCustomers, Trim: customer.TrimRecord, Apply: func([]knapweedpulley.Change) {},
	})
	var objects []knapweedpulley.Object
	for i := range benchmarkCustomers {
		name := fmt.Sprintf("customer-%d", i)
		objects = append(objects, knapweedpulley.Object{Name: name, Value: versions(b, name, 1)[0], Revision: 1})
	}
	table.Replace(table.trimObjects(objects), 1, Evidence{CompleteAsOf: 1})
	values := versions(b, "customer-0", changes)
	b.ResetTimer()
	for i := range b.N {
		revision := knapweedpulley.Revision(i + 2)
		c := knapweedpulley.Change{Object: knapweedpulley.Object{
			Name: "customer-0", Value: values[i%changes], Revision: revision,
		}}
		table.Advance(revision-1, withFullValues(table.trimChanges([]knapweedpulley.Change{c})), revision, Evidence{CompleteAsOf: 1})
	}
	b.StopTimer()
	sent, view, _ := table.Since(table.View().Revision - 1)
	set := withFullValues(difference(nil, view.Objects, view.Revision))
	b.ReportMetric(float64(len(values[changes-1])), "stored-bytes")
	b.ReportMetric(float64(len(view.Objects["customer-0"].Value)), "kept-bytes")
	b.ReportMetric(float64(sizeOf(sent)), "sent-bytes")
	b.ReportMetric(float64(sizeOf(set)), "set-bytes")
}
