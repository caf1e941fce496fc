package customer

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

const (
	// defaultDeadline bounds the requests of customers whose template sets no deadline.
	defaultDeadline = settings.Duration(30 * time.Second)
	// defaultMaxBody bounds the request bodies of customers whose template sets no limit.
	defaultMaxBody = knapweedpulley.MiB
	// maxBodyLimit bounds the maxBody of a template: a body must fit into one message of a link.
	maxBodyLimit = 8 * knapweedpulley.MiB
	// defaultWeight is the weight of customers whose template sets none.
	defaultWeight knapweedpulley.Weight = 1
	// maxIDLength is the length of the longest id, in bytes.
	maxIDLength = 128
)

// Access determines who may use a route.
type Access string

// Kinds of access to a route.
const (
	// AccessKeyed routes need a key of the customer.
	AccessKeyed Access = "keyed"
	// AccessOpen routes are open to all.
	AccessOpen Access = "open"
)

// Template is the configuration that an operator writes for one customer, with all parameters
// filled in.
type Template struct {
	Customer knapweedpulley.CustomerID      `json:"customer"`
	Weight   knapweedpulley.Weight          `json:"weight"`
	Rate     knapweedpulley.TokensPerSecond `json:"rate"`
	Burst    knapweedpulley.Tokens          `json:"burst"`
	Deadline settings.Duration              `json:"deadline"`
	MaxBody  knapweedpulley.Bytes           `json:"maxBody"`
	Models   []ModelTemplate                `json:"models"`
	Adapters []AdapterTemplate              `json:"adapters"`
	Keys     []KeyTemplate                  `json:"keys"`
	Routes   []RouteTemplate                `json:"routes"`
}

// ModelTemplate configures a base model that a customer uses.
type ModelTemplate struct {
	ID   knapweedpulley.ModelID `json:"id"`
	Size knapweedpulley.Bytes   `json:"size"`
	// Replicas is the maximum number of endpoints that may hold the model.
	Replicas knapweedpulley.Replicas `json:"replicas"`
	// ColdStart is the objective for the time to load the model; zero for none.
	ColdStart settings.Duration `json:"coldStart"`
}

// AdapterTemplate configures an adapter on a base model.
type AdapterTemplate struct {
	ID    knapweedpulley.AdapterID `json:"id"`
	Model knapweedpulley.ModelID   `json:"model"`
	Size  knapweedpulley.Bytes     `json:"size"`
}

// KeyTemplate configures an API key by the hash of its secret. The secret itself is kept elsewhere.
type KeyTemplate struct {
	ID   knapweedpulley.KeyID `json:"id"`
	Hash Hash                 `json:"hash"`
}

// RouteTemplate configures a route to a plain service. ID is the route id that the agents of the
// service announce.
type RouteTemplate struct {
	ID         knapweedpulley.RouteID `json:"id"`
	Idempotent bool                   `json:"idempotent"`
	Access     Access                 `json:"access"`
	// Deadline overrides the customer's deadline; zero for none.
	Deadline settings.Duration `json:"deadline"`
}

// Resolve fills the parameters into the text of a template, and decodes and checks the result. The
// error lists all faults of the parameters or of the template.
func Resolve(text json.RawMessage, parameters Parameters) (Template, error) {
	filled, err := parameters.Fill(text)
	if err != nil {
		return Template{}, err
	}
	return ParseTemplate(filled)
}

// ParseTemplate decodes and checks a template without references to parameters. Settings that the
// text omits get their defaults.
func ParseTemplate(text []byte) (Template, error) {
	t := Template{Weight: defaultWeight, Deadline: defaultDeadline, MaxBody: defaultMaxBody}
	if err := settings.Decode(text, &t); err != nil {
		return t, err
	}
	for i := range t.Routes {
		if t.Routes[i].Access == "" {
			t.Routes[i].Access = AccessKeyed
		}
	}
	var f settings.Faults
	t.Check(&f)
	return t, f.Err()
}

// Check implements knapweedpulley.Checker.
func (t *Template) Check(f knapweedpulley.FieldErrors) {
	checkID(f, "customer", string(t.Customer))
	f.Positive("weight", float64(t.Weight))
	f.Positive("rate", float64(t.Rate))
	f.Positive("burst", float64(t.Burst))
	f.Positive("deadline", float64(t.Deadline))
	f.Positive("maxBody", float64(t.MaxBody))
	if t.MaxBody > maxBodyLimit {
		f.Addf("maxBody", int64(t.MaxBody), "must be at most %d", int64(maxBodyLimit))
	}
	t.checkModels(f)
	t.checkAdapters(f)
	t.checkKeys(f)
	t.checkRoutes(f)
}

func (t *Template) checkModels(f knapweedpulley.FieldErrors) {
	seen := knapweedpulley.NewSet[knapweedpulley.ModelID]()
	for i, m := range t.Models {
		in := f.In("models[%d]", i)
		checkID(in, "id", string(m.ID))
		if seen.Has(m.ID) {
			in.Addf("id", m.ID, "must occur only once")
		}
		seen.Add(m.ID)
		in.Positive("size", float64(m.Size))
		in.Positive("replicas", float64(m.Replicas))
		if m.ColdStart < 0 {
			in.Addf("coldStart", time.Duration(m.ColdStart), "must not be below 0")
		}
	}
}

func (t *Template) checkAdapters(f knapweedpulley.FieldErrors) {
	models := knapweedpulley.NewSet[knapweedpulley.ModelID]()
	for _, m := range t.Models {
		models.Add(m.ID)
	}
	seen := knapweedpulley.NewSet[knapweedpulley.AdapterID]()
	for i, a := range t.Adapters {
		in := f.In("adapters[%d]", i)
		checkID(in, "id", string(a.ID))
		if seen.Has(a.ID) {
			in.Addf("id", a.ID, "must occur only once")
		}
		seen.Add(a.ID)
		if models.Has(knapweedpulley.ModelID(a.ID)) {
			in.Addf("id", a.ID, "must not be the id of a model")
		}
		if !models.Has(a.Model) {
			in.Addf("model", a.Model, "must be the id of a model of the template")
		}
		in.Positive("size", float64(a.Size))
	}
}

func (t *Template) checkKeys(f knapweedpulley.FieldErrors) {
	seen := knapweedpulley.NewSet[knapweedpulley.KeyID]()
	for i, k := range t.Keys {
		in := f.In("keys[%d]", i)
		checkID(in, "id", string(k.ID))
		if seen.Has(k.ID) {
			in.Addf("id", k.ID, "must occur only once")
		}
		seen.Add(k.ID)
		if k.Hash == (Hash{}) {
			in.Addf("hash", "", "must be the SHA-256 of a secret in hexadecimal")
		}
	}
}

func (t *Template) checkRoutes(f knapweedpulley.FieldErrors) {
	seen := knapweedpulley.NewSet[knapweedpulley.RouteID]()
	for i, r := range t.Routes {
		in := f.In("routes[%d]", i)
		checkID(in, "id", string(r.ID))
		if seen.Has(r.ID) {
			in.Addf("id", r.ID, "must occur only once")
		}
		seen.Add(r.ID)
		if r.Access != AccessKeyed && r.Access != AccessOpen {
			in.Addf("access", r.Access, "must be %q or %q", AccessKeyed, AccessOpen)
		}
		if r.Deadline < 0 {
			in.Addf("deadline", time.Duration(r.Deadline), "must not be below 0")
		}
	}
}

// checkID requires an id that is valid in a URL path and as an object name in the store.
func checkID(f knapweedpulley.FieldErrors, field, value string) {
	if len(value) > maxIDLength || !isID(value) {
		f.Addf(field, value, "must be at most %d letters, digits, '.', '_', ':' and '-', and begin with a letter or digit",
			maxIDLength)
	}
}

// isID reports whether value consists of the characters of an id and begins with a letter or digit.
func isID(value string) bool {
	for i := range len(value) {
		c := value[i]
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		case i > 0 && strings.IndexByte("._:-", c) >= 0:
		default:
			return false
		}
	}
	return value != ""
}
