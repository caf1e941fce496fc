package customer_test

import (
	"encoding/json"
	"fmt"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/customer"
)

// adaptersPerCustomer is the number of adapters of each customer in a benchmark.
const adaptersPerCustomer = 500

// largeRecord returns the record of a customer with four models, many adapters and one key.
func largeRecord(b *testing.B, name string) customer.Record {
	b.Helper()
	is := is.New(b)
	t := customer.Template{Customer: knapweedpulley.CustomerID(name), Weight: 1, Rate: 1, Burst: 1, Deadline: 1, MaxBody: 1}
	for i := range 4 {
		id := knapweedpulley.ModelID(fmt.Sprintf("%s-model-%d", name, i))
		t.Models = append(t.Models, customer.ModelTemplate{ID: id, Size: knapweedpulley.GiB, Replicas: 1})
	}
	for i := range adaptersPerCustomer {
		id := knapweedpulley.AdapterID(fmt.Sprintf("%s-adapter-%d", name, i))
		t.Adapters = append(t.Adapters, customer.AdapterTemplate{ID: id, Model: t.Models[i%4].ID, Size: knapweedpulley.MiB})
	}
	text, err := json.Marshal(t)
	is.NoErr(err)
	r, err := customer.Record{}.Apply(testAuthor(), text, nil)
	is.NoErr(err)
	r, err = r.IssueKey(testAuthor(), "counter", customer.HashOf("kp-"+name))
	is.NoErr(err)
	return r
}

// recordChange returns a change that writes a record.
func recordChange(b *testing.B, name string, revision knapweedpulley.Revision, r customer.Record) knapweedpulley.Change {
	b.Helper()
	data, err := r.Encode()
	is.New(b).NoErr(err)
	return knapweedpulley.Change{Object: knapweedpulley.Object{Name: name, Revision: revision, Value: data}}
}

// directoryWithAdapters returns a directory whose customers have the given number of adapters
// together.
func directoryWithAdapters(b *testing.B, adapters int) *customer.Directory {
	b.Helper()
	d := customer.NewDirectory()
	for i := range adapters / adaptersPerCustomer {
		name := "customer-" + strconv.Itoa(i)
		is.New(b).NoErr(d.Apply(recordChange(b, name, 1, largeRecord(b, name))))
	}
	return d
}

func BenchmarkAuthenticate(b *testing.B) {
	for _, adapters := range []int{adaptersPerCustomer, 21000} {
		b.Run(strconv.Itoa(adapters), func(b *testing.B) {
			d := directoryWithAdapters(b, adapters)
			stop := make(chan struct{})
			stopped := make(chan struct{})
			change := recordChange(b, "customer-0", 2, largeRecord(b, "customer-0"))
			go func() {
				defer close(stopped)
				for ; ; change.Revision++ {
					select {
					case <-stop:
						return
					default:
						_ = d.Apply(change)
					}
				}
			}()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, _, ok := d.Current().Authenticate("kp-customer-0"); !ok {
					b.Fatal("the key is unknown")
				}
			}
			b.StopTimer()
			close(stop)
			<-stopped
		})
	}
}

func BenchmarkApply(b *testing.B) {
	for _, adapters := range []int{adaptersPerCustomer, 5000, 21000} {
		b.Run(strconv.Itoa(adapters), func(b *testing.B) {
			d := directoryWithAdapters(b, adapters)
			change := recordChange(b, "customer-0", 2, largeRecord(b, "customer-0"))
			b.ResetTimer()
			for range b.N {
				if err := d.Apply(change); err != nil {
					b.Fatal(err)
				}
				change.Revision++
			}
		})
	}
}
