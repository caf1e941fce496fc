// Command keeper decides which models the engine on its machine loads and
// unloads. One keeper runs beside each engine.
//
// # Usage
//
//	keeper --settings keeper.json
//	keeper --settings keeper.json --check
//
// With --check it checks the settings and exits. Without --settings, the
// environment variable KNAPWEEDPULLEY_CONFIG names the settings file.
package main

import (
	"net/http"
	"os"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"google.golang.org/grpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/engine/exchange"
	"github.com/knapweedpulley/knapweedpulley/keeper"
	"github.com/knapweedpulley/knapweedpulley/link"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/machine"
	"github.com/knapweedpulley/knapweedpulley/metric"
	"github.com/knapweedpulley/knapweedpulley/platform"
	"github.com/knapweedpulley/knapweedpulley/program"
	"github.com/knapweedpulley/knapweedpulley/settings"
	"github.com/knapweedpulley/knapweedpulley/web"
)

// Settings configures a keeper.
type Settings struct {
	ID string `json:"id"`
	// Listen is the address where gateways connect.
	Listen string `json:"listen"`
	// Engine is the address of the engine on the machine.
	Engine string `json:"engine"`
	// Metrics is the address where the metrics are served.
	Metrics string `json:"metrics"`
	// MemoryMB is the memory that the machine allows, in millions of bytes.
	MemoryMB int64 `json:"memoryMb"`
	// MaxFDs is the number of descriptors that the process may open. Zero stands for the limit that the
	// system sets.
	MaxFDs int `json:"maxFds"`
	// OrderLateness is the time for which an order that got no answer can still be carried out.
	OrderLateness settings.Duration `json:"orderLateness"`
	LogLevel      string            `json:"logLevel"`
}

// Check implements knapweedpulley.Checker.
func (s *Settings) Check(f knapweedpulley.FieldErrors) {
	f.Required("id", s.ID)
	f.Address("listen", s.Listen)
	f.Address("engine", s.Engine)
	f.Address("metrics", s.Metrics)
	f.Positive("memoryMb", float64(s.MemoryMB))
	settings.CheckResources(f, s.MemoryMB, s.MaxFDs)
	f.Positive("orderLateness", time.Duration(s.OrderLateness).Seconds())
	settings.CheckLogLevel(f, "logLevel", s.LogLevel)
}

func main() {
	os.Exit(program.Run[Settings]("keeper", "Loads and unloads models on one model engine.", startKeeper))
}

func startKeeper(s Settings) (program.Process, error) {
	machine.LimitMemory(s.MemoryMB)
	logQueue, flush := logbook.NewQueue(os.Stdout)
	log := logbook.New(logQueue, logbook.Level(s.LogLevel), "keeper", s.ID)
	scope, metrics, closeMetrics := metric.New("keeper", s.ID)
	guard := web.NewMachineGuard(s.MemoryMB, s.MaxFDs)
	pool, closePool := exchange.NewPool()
	k, closeKeeper := keeper.New(platform.NewEngine(pool, s.Engine, s.ID), machine.NewClock(), log, keeper.Terms{
		Token: keeper.MachineToken(s.ID), OrderLateness: time.Duration(s.OrderLateness),
	})
	cleanups := program.Cleanups{flush, closeMetrics, closePool, closeKeeper}
	_, closeServer, err := link.NewServer(s.Listen, nil, func(r grpc.ServiceRegistrar) { link.RegisterKeeper(r, k) })
	if err != nil {
		cleanups.Run()
		return program.Process{}, err
	}
	cleanups.Add(closeServer)
	closeMetricsServer, err := guard.Serve(s.Metrics, nil, []rest.Route{
		{Method: http.MethodGet, Path: "/metrics", Handler: metrics.ServeHTTP},
	})
	if err != nil {
		cleanups.Run()
		return program.Process{}, err
	}
	cleanups.Add(closeMetricsServer, machine.Every(web.ReportPeriod, func() { guard.Report(scope, log) }))
	log.WithField("engine", s.Engine).Info("keeper started")
	return program.Process{
		Cleanup: func() {
			log.Info("keeper stopping")
			cleanups.Run()
		},
		Reload: func() { log.Info("settings not reloaded; changes take effect at the next start") },
	}, nil
}
