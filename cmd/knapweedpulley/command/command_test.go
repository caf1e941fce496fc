package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/zeromicro/go-zero/rest/router"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/admin"
	"github.com/knapweedpulley/knapweedpulley/burn"
	"github.com/knapweedpulley/knapweedpulley/cmd/knapweedpulley/command"
	"github.com/knapweedpulley/knapweedpulley/customer"
	machinefake "github.com/knapweedpulley/knapweedpulley/machine/fake"
	"github.com/knapweedpulley/knapweedpulley/store/fake"
)

const template = `{"customer": "workshop", "rate": "${rate}", "burst": 4000}`

// system is the admin API of one entry process, with a fake store, and a folder with the files that
// the command reads.
type system struct {
	folder    string
	objects   *fake.Store
	directory *customer.Directory
	silent    bool
}

func newSystem(t *testing.T) *system {
	t.Helper()
	is := is.New(t)
	s := &system{folder: t.TempDir(), objects: fake.New(), directory: customer.NewDirectory()}
	handler := admin.NewHandler(admin.HandlerOptions{
		Editor: admin.NewEditor(admin.EditorOptions{
			Objects: s.objects, Directory: s.directory, Acceptance: admin.NewAcceptance(s, s),
			Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, Now: time.Now,
		}),
		Survey:    admin.NewSurvey(s, s),
		Burn:      func() burn.Document { return burn.Document{Entry: "entry-1"} },
		Operators: admin.Operators{{ID: "olga", KeyHash: customer.HashOf("kp-operator")}},
	})
	mux := router.NewRouter()
	for _, r := range handler.Routes() {
		is.NoErr(mux.Handle(r.Method, r.Path, r.Handler))
	}
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	closed, release, err := machinefake.ReserveAddress()
	is.NoErr(err)
	t.Cleanup(release)
	data, err := json.Marshal(command.Settings{
		Admin: []string{closed, server.Listener.Addr().String()}, OperatorKey: "kp-operator",
	})
	is.NoErr(err)
	s.writeFile(t, "operator.json", string(data))
	s.writeFile(t, "workshop.json", template)
	return s
}

func (s *system) writeFile(t *testing.T, name, content string) {
	t.Helper()
	is.New(t).NoErr(os.WriteFile(filepath.Join(s.folder, name), []byte(content), 0o600))
}

func (s *system) Peers() []knapweedpulley.Member {
	return []knapweedpulley.Member{{Entry: "entry-1", Zone: "zone-1"}}
}

func (s *system) Subscribe(
	context.Context, knapweedpulley.Member,
) (knapweedpulley.ConfigurationStream, error) {
	return nil, errors.New("no subscriptions")
}

func (s *system) Await(
	ctx context.Context, _ knapweedpulley.Member, kind knapweedpulley.Kind, _ knapweedpulley.Revision,
) (knapweedpulley.ConfigurationReport, error) {
	if s.silent {
		<-ctx.Done()
		return knapweedpulley.ConfigurationReport{}, ctx.Err()
	}
	l, err := s.objects.List(ctx, kind)
	for _, o := range l.Objects {
		_ = s.directory.Apply(knapweedpulley.Change{Object: o})
	}
	var r knapweedpulley.ConfigurationReport
	for _, c := range s.directory.Current().Customers() {
		r.Customers = append(r.Customers, knapweedpulley.CustomerVersion{Customer: c.ID, Version: c.Version})
	}
	return r, err
}

// assertRun runs the command in the folder of the system, asserts its exit status and that its output
// contains all parts, and returns the output.
func assertRun(t *testing.T, s *system, status int, args []string, parts ...string) string {
	t.Helper()
	t.Chdir(s.folder)
	var out bytes.Buffer
	if got := command.Run(args, &out, &out); got != status {
		t.Errorf("%v: status %d, want %d: %s", args, got, status, &out)
	}
	for _, p := range parts {
		if !strings.Contains(out.String(), p) {
			t.Errorf("%v: printed %q, which lacks %q", args, &out, p)
		}
	}
	return out.String()
}

func splitArguments(line string) []string {
	return strings.Fields(line)
}

func TestChanges(t *testing.T) {
	s := newSystem(t)
	assertRun(t, s, command.ExitDone, splitArguments("apply workshop.json --set rate=10 --dry-run"), "+ rate: 10", "nothing was changed")
	assertRun(t, s, command.ExitDone, splitArguments("customers"))
	assertRun(t, s, command.ExitDone, splitArguments("apply workshop.json --set rate=10 --expect 0"), "version 1", "in force at")
	assertRun(t, s, command.ExitConflict, splitArguments("apply workshop.json --set rate=20 --expect 0"), "version 1", "version 0")
	assertRun(t, s, command.ExitDone, splitArguments("parameters workshop --set rate=30"), "- rate: 10", "+ rate: 30", "version 2")
	assertRun(t, s, command.ExitDone, splitArguments("parameters workshop"), "rate=30")
	assertRun(t, s, command.ExitDone, splitArguments("rollback workshop 1"), "+ rate: 10", "version 3")
	printed := assertRun(t, s, command.ExitDone, splitArguments("key issue workshop counter"), "shown only now", "version 4")
	_, rest, _ := strings.Cut(printed, "now: ")
	secret, _, _ := strings.Cut(rest, "\n")
	_, _, ok := s.directory.Current().Authenticate(secret)
	is.New(t).True(ok)
	assertRun(t, s, command.ExitDone, splitArguments("key withdraw workshop counter"), "version 5")
	_, _, ok = s.directory.Current().Authenticate(secret)
	is.New(t).True(!ok)
	assertRun(t, s, command.ExitDone, splitArguments("history workshop"), "withdrawKey", "rollback", "olga")
	assertRun(t, s, command.ExitDone, splitArguments("status"), "workshop  version 5", "everywhere")
}

func TestWrongInput(t *testing.T) {
	s := newSystem(t)
	s.writeFile(t, "broken.json", `{"customer": "workshop",`)
	s.writeFile(t, "missing.json", `{"customer": "workshop", "rate": 1, "burst": 1, "adapters": [{"id": "a", "model": "none", "size": 1}]}`)
	s.writeFile(t, "unknown.json", `{"admin": ["127.0.0.1:1"], "operatorKey": "x", "amdin": 1}`)
	s.writeFile(t, "stranger.json", strings.Replace(readFile(t, s, "operator.json"), "kp-operator", "kp-stranger", 1))
	cases := []struct {
		line   string
		status int
		parts  []string
	}{
		{"", command.ExitUsage, []string{"subcommand"}},
		{"aply workshop.json", command.ExitUsage, nil},
		{"apply", command.ExitUsage, nil},
		{"apply workshop.json --set rate=10 --dry-rum", command.ExitUsage, nil},
		{"apply none.json", command.ExitUsage, []string{"none.json"}},
		{"apply broken.json", command.ExitUsage, []string{"broken.json", "line 1"}},
		{"apply missing.json --check", command.ExitUsage, []string{"adapters[0].model", "none"}},
		{"apply workshop.json", command.ExitUsage, []string{"rate", "${rate}"}},
		{"apply workshop.json --set rate", command.ExitUsage, []string{"rate", "name=value"}},
		{"apply workshop.json --set rate=10 --expect new", command.ExitUsage, []string{"expect", "new"}},
		{"rollback workshop first", command.ExitUsage, []string{"version", "first"}},
		{"rollback workshop 7", command.ExitFailed, []string{"no customer", "workshop"}},
		{"key issue workshop", command.ExitUsage, nil},
		{"key", command.ExitUsage, []string{"subcommand"}},
		{"burn --format pdf", command.ExitUsage, []string{"format", "pdf"}},
		{"status --settings none.json", command.ExitUsage, []string{"none.json"}},
		{"status --settings unknown.json", command.ExitUsage, []string{"amdin"}},
		{"status --settings stranger.json", command.ExitFailed, []string{"operator's key"}},
	}
	for _, c := range cases {
		t.Run(c.line, func(t *testing.T) {
			assertRun(t, s, c.status, splitArguments(c.line), c.parts...)
		})
	}
	t.Run("a check succeeds without settings", func(t *testing.T) {
		is.New(t).NoErr(os.Remove(filepath.Join(s.folder, "operator.json")))
		assertRun(t, s, command.ExitDone, splitArguments("apply workshop.json --set rate=10 --check"), "sound")
	})
}

func readFile(t *testing.T, s *system, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(s.folder, name))
	is.New(t).NoErr(err)
	return string(data)
}

// One of the two admin addresses of the settings is closed, so that the report lacks an entry.
func TestBurn(t *testing.T) {
	s := newSystem(t)
	assertRun(t, s, command.ExitDone, splitArguments("apply workshop.json --set rate=10"))
	for _, format := range []string{"text", "json", "html"} {
		assertRun(t, s, command.ExitPending, splitArguments("burn --format "+format), "workshop", "lacks the entries at 127.0.0.1")
	}
}

func TestFailures(t *testing.T) {
	t.Run("a change fails without effect if the store is down", func(t *testing.T) {
		s := newSystem(t)
		s.objects.SetDown(true)
		assertRun(t, s, command.ExitFailed, splitArguments("apply workshop.json --set rate=10"), "nothing was changed")
	})
	t.Run("a change that no entry acknowledges is pending", func(t *testing.T) {
		s := newSystem(t)
		s.silent = true
		assertRun(t, s, command.ExitPending, splitArguments("apply workshop.json --set rate=10"), "not yet accepted", "entry-1")
	})
}
