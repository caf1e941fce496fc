package customer_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/customer"
)

const (
	workshopTemplate = `{
  "customer": "workshop",
  "rate": "${rate}",
  "burst": 4000,
  "deadline": "20s",
  "models": [{"id": "gas-mixes", "size": 1000, "replicas": 2, "coldStart": "8s"}],
  "adapters": [{"id": "gas-mixes-${language}", "model": "gas-mixes", "size": 10}],
  "routes": [
    {"id": "ledger", "deadline": "5s"},
    {"id": "catalog", "idempotent": true, "access": "open"}
  ]
}`
	secret = "kp-counter"
)

func newParameters(pairs ...string) customer.Parameters {
	p := customer.Parameters{}
	for i := 0; i < len(pairs); i += 2 {
		p[pairs[i]] = json.RawMessage(pairs[i+1])
	}
	return p
}

func testAuthor() customer.Author {
	return customer.Author{Operator: "olga", Time: time.Unix(1, 0).UTC(), Change: "c1"}
}

func assertErrorContains(t *testing.T, err error, parts ...string) {
	t.Helper()
	if err == nil {
		t.Fatal("no error")
	}
	for _, p := range parts {
		if !strings.Contains(err.Error(), p) {
			t.Errorf("error %q doesn't contain %q", err, p)
		}
	}
}

func assertApplied(t *testing.T, r customer.Record, template string, p customer.Parameters) customer.Record {
	t.Helper()
	n, err := r.Apply(testAuthor(), json.RawMessage(template), p)
	is.New(t).NoErr(err)
	return n
}

func assertIssued(t *testing.T, r customer.Record) customer.Record {
	t.Helper()
	n, err := r.IssueKey(testAuthor(), "counter", customer.HashOf(secret))
	is.New(t).NoErr(err)
	return n
}

func newChange(t *testing.T, name string, revision knapweedpulley.Revision, r customer.Record) knapweedpulley.Change {
	t.Helper()
	data, err := r.Encode()
	is.New(t).NoErr(err)
	return knapweedpulley.Change{Object: knapweedpulley.Object{
		Kind: knapweedpulley.KindCustomers, Name: name, Revision: revision, Value: data,
	}}
}

func assertKeyOwner(t *testing.T, s *customer.Snapshot, want knapweedpulley.CustomerID) {
	t.Helper()
	is := is.New(t)
	c, key, ok := s.Authenticate(secret)
	is.Equal(ok, want != "")
	if ok {
		is.Equal(c.ID, want)
		is.True(s.KeyValid(c.ID, key))
	}
}

func TestResolve(t *testing.T) {
	t.Run("parameters and defaults are filled in", func(t *testing.T) {
		is := is.New(t)
		got, err := customer.Resolve([]byte(workshopTemplate), newParameters("rate", "12.5", "language", `"de"`))
		is.NoErr(err)
		is.Equal(got.Rate, knapweedpulley.TokensPerSecond(12.5))
		is.Equal(got.Adapters[0].ID, knapweedpulley.AdapterID("gas-mixes-de"))
		is.Equal(got.Weight, knapweedpulley.Weight(1))
		is.Equal(got.MaxBody, knapweedpulley.MiB)
		is.Equal(got.Routes[0].Access, customer.AccessKeyed)
	})
	faults := []struct {
		name       string
		old, new   string
		parameters customer.Parameters
		want       []string
	}{
		{"a missing parameter is refused", "", "", newParameters("rate", "1"), []string{"adapters[0].id", "${language}"}},
		{"an unused parameter is refused", "", "", newParameters("rate", "1", "language", `"de"`, "zone", "1"), []string{"parameters.zone", "not used"}},
		{"a parameter of the wrong type is refused", "", "", newParameters("rate", `"fast"`, "language", `"de"`), []string{"line 3", "rate", "JSON string"}},
		{"a list as parameter is refused", "", "", newParameters("rate", "[1]", "language", `"de"`), []string{"parameters.rate", "[1]"}},
		{"a rate of zero is refused", "", "", newParameters("rate", "0", "language", `"de"`), []string{"rate", "above 0"}},
		{"an unknown field is refused", `"burst"`, `"brust"`, newParameters("rate", "1", "language", `"de"`), []string{"line 4", "brust"}},
		{"an adapter of a missing model is refused", `"model": "gas-mixes"`, `"model": "gas"`, newParameters("rate", "1", "language", `"de"`), []string{"adapters[0].model", "gas"}},
		{"invalid JSON is refused", `"burst": 4000,`, `"burst": 4000`, newParameters("rate", "1", "language", `"de"`), []string{"line 5"}},
		{"an unknown access is refused", `"open"`, `"public"`, newParameters("rate", "1", "language", `"de"`), []string{"routes[1].access", "public"}},
		{"an unclosed reference is refused", `${rate}`, `${rate`, newParameters("rate", "1", "language", `"de"`), []string{"rate", "${rate"}},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			_, err := customer.Resolve([]byte(strings.Replace(workshopTemplate, f.old, f.new, 1)), f.parameters)
			assertErrorContains(t, err, f.want...)
		})
	}
}

func FuzzResolve(f *testing.F) {
	f.Add(workshopTemplate, "rate", "1")
	f.Add(`{"a":["${x}",{"b":"${x}"}],"c":1}`, "x", `"\"}"`)
	f.Add(`[}`, "x", "1")
	f.Add(`{"customer":"a","rate":1,"burst":1,"models":null}`, "", "")
	f.Fuzz(func(t *testing.T, text, name, value string) {
		parameters := newParameters(name, value)
		filled, err := parameters.Fill([]byte(text))
		if err == nil && json.Valid([]byte(text)) && !json.Valid(filled) {
			t.Fatalf("filling made invalid JSON: %q", filled)
		}
		resolved, err := customer.Resolve([]byte(text), parameters)
		if err != nil {
			return
		}
		data, err := json.Marshal(resolved)
		is.New(t).NoErr(err)
		_, err = customer.ParseTemplate(data)
		is.New(t).NoErr(err)
	})
}

func TestRecord(t *testing.T) {
	first := assertApplied(t, customer.Record{}, workshopTemplate, newParameters("rate", "1", "language", `"de"`))
	t.Run("a rollback creates a new version with the old parameters", func(t *testing.T) {
		is := is.New(t)
		r := assertApplied(t, first, workshopTemplate, newParameters("rate", "2", "language", `"de"`))
		r = assertIssued(t, r)
		r, err := r.Rollback(testAuthor(), 1)
		is.NoErr(err)
		is.Equal(r.Version, knapweedpulley.Version(4))
		is.Equal(string(r.Parameters["rate"]), "1")
		r, err = r.Rollback(testAuthor(), 3)
		is.NoErr(err)
		is.Equal(string(r.Parameters["rate"]), "2")
	})
	t.Run("a rollback to a version that is not kept is refused", func(t *testing.T) {
		_, err := first.Rollback(testAuthor(), 9)
		assertErrorContains(t, err, "version", "9")
	})
	t.Run("the history keeps ten earlier templates", func(t *testing.T) {
		is := is.New(t)
		r := first
		for i := range 20 {
			next := strings.Replace(workshopTemplate, "4000", strconv.Itoa(5000+i), 1)
			r = assertApplied(t, r, next, newParameters("rate", "1", "language", `"de"`))
		}
		is.Equal(len(r.History), 10)
		is.Equal(r.History[0].Version, knapweedpulley.Version(11))
	})
	t.Run("versions that differ only in parameters share one template", func(t *testing.T) {
		is := is.New(t)
		r := first
		for i := range 20 {
			r = assertApplied(t, r, workshopTemplate, newParameters("rate", strconv.Itoa(i+2), "language", `"de"`))
		}
		data, err := r.Encode()
		is.NoErr(err)
		is.Equal(bytes.Count(data, []byte("gas-mixes-${language}")), 1)
		for v := range 20 {
			old, err := r.Rollback(testAuthor(), knapweedpulley.Version(v+1))
			is.NoErr(err)
			is.Equal(string(old.Parameters["rate"]), strconv.Itoa(v+1))
		}
	})
	t.Run("a record with large templates drops its oldest editions", func(t *testing.T) {
		is := is.New(t)
		r := customer.Record{}
		for i := range 6 {
			text := fmt.Sprintf(`{"customer": "workshop", "rate": %d, "burst": 1, "adapters": [%s]}`,
				i+1, strings.Repeat(" ", i)+strings.Repeat(`{"id": "a", "model": "m", "size": 1},`, 8000)+`{}`)
			r.Template = json.RawMessage(text)
			r.Version++
			r.History = append(r.History, r.Edition)
		}
		data, err := r.Encode()
		is.NoErr(err)
		is.True(len(data) <= 1<<20)
		kept, err := customer.ParseRecord(data)
		is.NoErr(err)
		is.Equal(kept.Version, knapweedpulley.Version(6))
		is.True(len(kept.History) > 0 && len(kept.History) < 6)
		r.Template = json.RawMessage(`"` + strings.Repeat("x", 1<<20) + `"`)
		_, err = r.Encode()
		assertErrorContains(t, err, "template", "must take at most")
	})
	t.Run("the id of a withdrawn key can't be used again", func(t *testing.T) {
		r := assertIssued(t, first)
		r, err := r.WithdrawKey(testAuthor(), "counter")
		is.New(t).NoErr(err)
		_, err = r.IssueKey(testAuthor(), "counter", customer.HashOf("kp-other"))
		assertErrorContains(t, err, "id", "counter")
	})
	t.Run("a key that leaves the template stays withdrawn after a rollback", func(t *testing.T) {
		is := is.New(t)
		hash, _ := customer.HashOf(secret).MarshalText()
		keyed := strings.Replace(workshopTemplate, `"burst"`, `"keys": [{"id": "counter", "hash": "`+string(hash)+`"}], "burst"`, 1)
		r := assertApplied(t, customer.Record{}, keyed, newParameters("rate", "1", "language", `"de"`))
		is.True(!r.Keys[0].Withdrawn)
		r = assertApplied(t, r, workshopTemplate, newParameters("rate", "1", "language", `"de"`))
		is.True(r.Keys[0].Withdrawn)
		r, err := r.Rollback(testAuthor(), 1)
		is.NoErr(err)
		is.True(r.Keys[0].Withdrawn)
	})
}

func TestDirectory(t *testing.T) {
	base := assertApplied(t, customer.Record{}, workshopTemplate, newParameters("rate", "1", "language", `"de"`))
	keyed := assertIssued(t, base)
	withdrawn, err := keyed.WithdrawKey(testAuthor(), "counter")
	is.New(t).NoErr(err)

	t.Run("withdrawing a key supersedes the snapshot and a late change doesn't restore the key", func(t *testing.T) {
		is := is.New(t)
		d := customer.NewDirectory()
		is.NoErr(d.Apply(newChange(t, "workshop", 5, keyed)))
		before := d.Current()
		assertKeyOwner(t, before, "workshop")
		is.NoErr(d.Apply(newChange(t, "workshop", 7, withdrawn)))
		<-before.Superseded()
		assertKeyOwner(t, d.Current(), "")
		is.True(!d.Current().KeyValid("workshop", "counter"))
		is.NoErr(d.Apply(newChange(t, "workshop", 5, keyed)))
		assertKeyOwner(t, d.Current(), "")
	})
	t.Run("a late change does not restore a removed customer", func(t *testing.T) {
		is := is.New(t)
		d := customer.NewDirectory()
		removal := newChange(t, "workshop", 6, keyed)
		removal.Deleted = true
		is.NoErr(d.Apply(removal, newChange(t, "workshop", 5, keyed)))
		assertKeyOwner(t, d.Current(), "")
	})
	t.Run("an invalid record leaves the customer unchanged", func(t *testing.T) {
		d := customer.NewDirectory()
		faulty := newChange(t, "workshop", 6, keyed)
		faulty.Value = []byte(`{"version": 2, "template": {"customer": "workshop"}}`)
		assertErrorContains(t, d.Apply(newChange(t, "workshop", 5, keyed), faulty), "workshop", "rate")
		assertKeyOwner(t, d.Current(), "workshop")
	})
	t.Run("a secret of two customers authenticates neither of them", func(t *testing.T) {
		is := is.New(t)
		d := customer.NewDirectory()
		other := assertApplied(t, customer.Record{}, strings.Replace(workshopTemplate, "workshop", "depot", 1), newParameters("rate", "1", "language", `"de"`))
		other = assertIssued(t, other)
		is.NoErr(d.Apply(newChange(t, "workshop", 5, keyed), newChange(t, "depot", 6, other)))
		assertKeyOwner(t, d.Current(), "")
		is.NoErr(d.Apply(newChange(t, "workshop", 7, withdrawn)))
		assertKeyOwner(t, d.Current(), "depot")
	})
	t.Run("a snapshot has the models and the open routes of its customers", func(t *testing.T) {
		is := is.New(t)
		d := customer.NewDirectory()
		is.NoErr(d.Apply(newChange(t, "workshop", 5, keyed)))
		s := d.Current()
		is.Equal(s.Models()["gas-mixes"].Replicas, knapweedpulley.Replicas(2))
		c, r, ok := s.OpenRoute("catalog")
		is.True(ok)
		is.Equal(c.ID, knapweedpulley.CustomerID("workshop"))
		is.Equal(r.Deadline, 20*time.Second)
		_, _, ok = s.OpenRoute("ledger")
		is.True(!ok)
	})
	t.Run("lookups allocate no memory", func(t *testing.T) {
		is := is.New(t)
		d := customer.NewDirectory()
		is.NoErr(d.Apply(newChange(t, "workshop", 5, keyed)))
		is.Equal(testing.AllocsPerRun(100, func() {
			c, key, _ := d.Current().Authenticate(secret)
			d.Current().KeyValid(c.ID, key)
			d.Current().OpenRoute("catalog")
		}), 0.0)
	})
}

func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"version": 1, "template": {"customer": "workshop", "rate": 1, "burst": 1}, "keys": [{"id": "a"}]}`))
	f.Add([]byte(`{"template": {"customer": "workshop", "rate": "${x}", "burst": 1}, "parameters": {"x": 1}}`))
	f.Add([]byte(`{"keys": [{"hash": "00"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d := customer.NewDirectory()
		change := knapweedpulley.Change{Object: knapweedpulley.Object{Name: "workshop", Revision: 1, Value: data}}
		if d.Apply(change) != nil {
			return
		}
		_, ok := d.Current().Customer("workshop")
		is.New(t).True(ok)
		change.Value = customer.TrimRecord(data)
		change.Revision++
		is.New(t).NoErr(d.Apply(change))
	})
}
