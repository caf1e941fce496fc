package settings_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

// sample is a settings type with a field of each kind that is checked.
type sample struct {
	Listen  string            `json:"listen"`
	Rate    float64           `json:"rate"`
	Timeout settings.Duration `json:"timeout"`
	Zones   []zone            `json:"zones"`
}

type zone struct {
	ID string `json:"id"`
}

func (s *sample) Check(f knapweedpulley.FieldErrors) {
	f.Address("listen", s.Listen)
	f.Positive("rate", s.Rate)
	for i, z := range s.Zones {
		f.In("zones[%d]", i).Required("id", z.ID)
	}
}

const validSettings = `{"listen": "127.0.0.1:80", "rate": 2, "timeout": "1.5s", "zones": [{"id": "a"}]}`

func assertFaults(t *testing.T, text string, parts ...string) {
	t.Helper()
	is := is.New(t)
	_, err := settings.Parse[sample]([]byte(text))
	is.True(err != nil)
	for _, p := range parts {
		is.True(strings.Contains(err.Error(), p))
	}
}

func TestParse(t *testing.T) {
	t.Run("valid settings are accepted", func(t *testing.T) {
		is := is.New(t)
		s, err := settings.Parse[sample]([]byte(validSettings))
		is.NoErr(err)
		is.Equal(time.Duration(s.Timeout), 1500*time.Millisecond)
	})
	t.Run("all faults are returned in one error with their paths", func(t *testing.T) {
		assertFaults(t, `{"listen": "x", "rate": -1, "zones": [{"id": "a"}, {"id": ""}]}`,
			`listen: "x" must be host:port`, `rate: "-1" must be above 0`, `zones[1].id: "" must not be empty`)
	})
	t.Run("an unknown field is reported with its line", func(t *testing.T) {
		assertFaults(t, "{\n\"listne\": \"x\"}", "line 2", "listne")
	})
	t.Run("a value of a wrong type is reported with its field", func(t *testing.T) {
		assertFaults(t, `{"rate": "fast"}`, "rate", "must be float64")
	})
	t.Run("a duration without a unit is refused", func(t *testing.T) {
		assertFaults(t, `{"timeout": "15"}`, `"15"`, "1.5s")
	})
	t.Run("data after the value is refused", func(t *testing.T) {
		assertFaults(t, validSettings+"{}", "unexpected data")
	})
}

func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Add(`{"zones": [{}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		s, err := settings.Parse[sample]([]byte(text))
		if err != nil {
			return
		}
		encoded, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := settings.Parse[sample](encoded); err != nil {
			t.Fatalf("accepted settings are refused after encoding them again: %v", err)
		}
	})
}
