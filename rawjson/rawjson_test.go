package rawjson_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/rawjson"
)

func assertElements(t *testing.T, text string, want ...string) {
	t.Helper()
	is := is.New(t)
	elements, err := rawjson.Elements([]byte(text))
	is.NoErr(err)
	got := make([]string, 0, len(elements))
	for _, e := range elements {
		got = append(got, string(e))
	}
	is.Equal(strings.Join(got, "|"), strings.Join(want, "|"))
	is.Equal(len(got), len(want))
}

func assertNoElements(t *testing.T, text string) {
	t.Helper()
	_, err := rawjson.Elements([]byte(text))
	is.New(t).True(err != nil)
}

func TestElements(t *testing.T) {
	t.Run("an array is split into its elements", func(t *testing.T) {
		assertElements(t, ` [ 1 , "a,]\"" , {"b":[2,"}"]} ,[], null ] `, "1", `"a,]\""`, `{"b":[2,"}"]}`, "[]", "null")
		assertElements(t, `[]`)
		assertElements(t, `null`)
		assertElements(t, ``)
	})
	t.Run("elements that can't be decoded are kept", func(t *testing.T) {
		deep := strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000)
		assertElements(t, `[`+deep+`,NaN,1e400,{"a" 1}]`, deep, "NaN", "1e400", `{"a" 1}`)
	})
	t.Run("what is no array is refused", func(t *testing.T) {
		for _, text := range []string{`{}`, `5`, `[`, `[1`, `[1 2]`, `[,]`, `[1,]`, `["a]`, `[1] 2`, `[{]`, `[1`} {
			assertNoElements(t, text)
		}
	})
}

func TestMembers(t *testing.T) {
	t.Run("an object is split into its members", func(t *testing.T) {
		is := is.New(t)
		m, err := rawjson.Members([]byte(` { "a" : 1 , "b\u0021":{"c":[]}, "a":2} `))
		is.NoErr(err)
		is.Equal(len(m), 2)
		is.Equal(string(m["a"]), "2")
		is.Equal(string(m["b!"]), `{"c":[]}`)
	})
	t.Run("what is no object is refused", func(t *testing.T) {
		for _, text := range []string{`[]`, `{`, `{"a"}`, `{"a":}`, `{"a":1,}`, `{5:1}`, `{"a":1}}`, `x`} {
			_, err := rawjson.Members([]byte(text))
			is.New(t).True(err != nil)
		}
	})
}

func FuzzElements(f *testing.F) {
	f.Add([]byte(`[1,"a",{"b":[2]},null]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		is := is.New(t)
		elements, err := rawjson.Elements(text)
		var want []json.RawMessage
		if json.Unmarshal(text, &want) != nil {
			return
		}
		is.NoErr(err)
		is.Equal(len(elements), len(want))
		for i := range want {
			is.Equal(string(elements[i]), string(want[i]))
		}
	})
}

func FuzzMembers(f *testing.F) {
	f.Add([]byte(`{"a":1,"b":{"c":[]}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		is := is.New(t)
		members, err := rawjson.Members(text)
		var want map[string]json.RawMessage
		if json.Unmarshal(text, &want) != nil {
			return
		}
		is.NoErr(err)
		is.Equal(len(members), len(want))
		for name := range want {
			is.Equal(string(members[name]), string(want[name]))
		}
	})
}
