package trace_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/logbook/trace"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

const log = `  1.25 front-1 {"fields":{"id":"front-1","role":"gateway","model":"m","endpoint":"i-1","expected":"1s"},"level":"info","timestamp":"2026-08-05T16:40:08.5Z","message":"load asked for"}
not a line of a log
{"fields":{"id":"front-1","role":"gateway","request":"r1","route":"chat","model":"m","endpoint":"i-1","waitedMs":1100,"firstMs":1200,"aimMs":600,"gapAimMs":300,"tookMs":2000,"status":200},"level":"info","timestamp":"2026-08-05T16:40:10Z","message":"request answered"}
{"fields":{"id":"front-1","role":"gateway","request":"r2","route":"chat","code":"rateExceeded","aimMs":600},"level":"info","timestamp":"2026-08-05T16:40:10Z","message":"request refused"}
{"fields":{"id":"front-1","role":"gateway","request":"r3","route":"orders","firstMs":20,"aimMs":150,"tookMs":21,"status":200},"level":"info","timestamp":"2026-08-05T16:40:10Z","message":"request answered"}
{"fields":{"id":"front-1","role":"gateway","request":"r4","route":"chat","model":"m","firstMs":20,"pauseMs":900,"aimMs":600,"gapAimMs":300,"status":200},"level":"info","timestamp":"2026-08-05T16:40:10Z","message":"request answered"}
{"fields":{"id":"side-9","role":"keeper","model":"other"},"level":"info","timestamp":"2026-08-05T16:40:09Z","message":"order given"}
`

func read(t *testing.T) []trace.Line {
	t.Helper()
	is := is.New(t)
	lines, skipped, err := trace.Read(strings.NewReader(log))
	is.NoErr(err)
	is.Equal(skipped, 1)
	is.Equal(len(lines), 6)
	return lines
}

func assertHas(t *testing.T, text, part string, want bool) {
	t.Helper()
	is.New(t).Equal(strings.Contains(text, part), want)
}

func TestTable(t *testing.T) {
	var b bytes.Buffer
	is.New(t).NoErr(trace.WriteTable(&b, read(t)))
	for _, want := range []string{
		"cause                 chat  orders", "in time               0     1", "over its rate         1     0",
		"waited for its model  1     0", "long pause            1     0",
	} {
		assertHas(t, b.String(), want, true)
	}
}

func TestWriteLostWorth(t *testing.T) {
	const log = `{"fields":{"request":"r1","route":"chat","model":"m","waitedMs":1100,"firstMs":1200,"aimMs":600,"prompt":900,"completion":10,"status":200},"message":"request answered"}
{"fields":{"request":"r2","route":"chat","code":"rateExceeded","prompt":2900,"completion":10},"message":"request refused"}
{"fields":{"request":"r3","route":"orders","firstMs":20,"aimMs":150,"status":200},"message":"request answered"}
`
	lostWorth := func(t *testing.T, worths trace.Worths) string {
		t.Helper()
		is := is.New(t)
		lines, _, err := trace.Read(strings.NewReader(log))
		is.NoErr(err)
		var b bytes.Buffer
		is.NoErr(trace.WriteLostWorth(&b, lines, worths))
		return b.String()
	}
	t.Run("lost worth is counted by cause, route and size", func(t *testing.T) {
		text := lostWorth(t, trace.Worths{Routes: map[knapweedpulley.RouteID]trace.Worth{"chat": {InTime: 2, Late: 1}}})
		// The mean size is 2,000 tokens: the first request has half of it, the second one has
		// one and a half times as much.
		assertHas(t, text, "waited for its model  0.65  0.00", true)
		assertHas(t, text, "over its rate         2.70  0.00", true)
		assertHas(t, text, "of all                4.00  1.00", true)
	})
	t.Run("a request of a route without a worth counts one", func(t *testing.T) {
		assertHas(t, lostWorth(t, trace.Worths{}), "of all                2.00  1.00", true)
	})
	t.Run("a late worth above the worth in time is refused", func(t *testing.T) {
		_, err := settings.Parse[trace.Worths]([]byte(`{"routes":{"chat":{"inTime":1,"late":2}}}`))
		is.New(t).True(err != nil)
		assertHas(t, err.Error(), `routes.chat.late: "2" must be from 0 to inTime`, true)
	})
}

func TestRequest(t *testing.T) {
	t.Run("a request is explained by the lines about its endpoint and its model", func(t *testing.T) {
		var b bytes.Buffer
		is.New(t).NoErr(trace.WriteRequest(&b, read(t), "r1"))
		assertHas(t, b.String(), "r1: waited for its model", true)
		assertHas(t, b.String(), "load asked for", true)
		assertHas(t, b.String(), "order given", false)
		assertHas(t, b.String(), `"request":"r2"`, false)
	})
	t.Run("a request that the logs don't contain is an error", func(t *testing.T) {
		is.New(t).True(trace.WriteRequest(&bytes.Buffer{}, read(t), "r9") != nil)
	})
}

func FuzzRead(f *testing.F) {
	f.Add(log)
	f.Fuzz(func(_ *testing.T, text string) {
		lines, _, err := trace.Read(strings.NewReader(text))
		if err == nil {
			_ = trace.WriteTable(&bytes.Buffer{}, lines)
		}
	})
}

func TestCauseOfRefusalInEvacuatedZones(t *testing.T) {
	lines, _, err := trace.Read(strings.NewReader(
		`{"fields":{"request":"r1","route":"chat","model":"m","code":"evacuated","waitedMs":900,"aimMs":600},"message":"request refused"}`))
	is := is.New(t)
	is.NoErr(err)
	is.Equal(trace.CauseOf(&lines[0]), trace.Evacuated)
	var b bytes.Buffer
	is.NoErr(trace.WriteTable(&b, lines))
	assertHas(t, b.String(), "zones evacuated", true)
}
