// Command keeper gives the orders to the model engine on its machine. It runs
// in the slot beside each engine.
//
// # Usage
//
//	keeper --settings keeper.json
//	keeper --settings keeper.json --check
//
// Without --settings, KNAPWEEDPULLEY_CONFIG names the settings file.
package main

import (
	"net/http"
	"os"
	"runtime/debug"

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

const (
	// memoryPart is the part of the machine's memory that the collector aims
	// to stay below.
	memoryPart = 0.6
	// bytesPerMB is the platform's unit of memory.
	bytesPerMB = 1_000_000
)

// Settings configures a keeper.
type Settings struct {
	ID string `json:"id"`
	// Listen is where gateways connect.
	Listen string `json:"listen"`
	// Engine is the address of the engine on the machine.
	Engine string `json:"engine"`
	// Metrics is where the metrics are read.
	Metrics string `json:"metrics"`
	// MemoryMB is the memory that the machine allows, in millions of bytes.
	MemoryMB int64  `json:"memoryMb"`
	LogLevel string `json:"logLevel"`
}

// Check implements knapweedpulley.Checked.
func (s *Settings) Check(f knapweedpulley.FaultList) {
	f.Required("id", s.ID)
	f.Address("listen", s.Listen)
	f.Address("engine", s.Engine)
	f.Address("metrics", s.Metrics)
	f.Positive("memoryMb", float64(s.MemoryMB))
	settings.CheckLogLevel(f, "logLevel", s.LogLevel)
}

func main() {
	os.Exit(program.Run[Settings]("keeper", "Gives the orders to a model engine.", start))
}

func start(s Settings) (program.Process, error) {
	debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryMB*bytesPerMB)))
	lines, flush := logbook.NewQueue(os.Stdout)
	log := logbook.New(lines, logbook.Level(s.LogLevel), "keeper", s.ID)
	_, metrics, closeMetrics := metric.New("keeper", s.ID)
	pool, closePool := exchange.NewPool()
	k, closeKeeper := keeper.New(platform.NewEngine(pool, s.Engine, s.ID), machine.NewClock(), log)
	cleanups := []knapweedpulley.Cleanup{flush, closeMetrics, closePool, closeKeeper}
	clean := func() {
		for i := len(cleanups) - 1; i >= 0; i-- {
			cleanups[i]()
		}
	}
	_, closeServer, err := link.NewServer(s.Listen, nil, func(r grpc.ServiceRegistrar) { link.RegisterKeeper(r, k) })
	if err != nil {
		clean()
		return program.Process{}, err
	}
	cleanups = append(cleanups, closeServer)
	closePage, err := web.Serve(s.Metrics, nil, []rest.Route{
		{Method: http.MethodGet, Path: "/metrics", Handler: metrics.ServeHTTP},
	})
	if err != nil {
		clean()
		return program.Process{}, err
	}
	cleanups = append(cleanups, closePage)
	log.WithField("engine", s.Engine).Info("keeper started")
	return program.Process{
		Cleanup: func() {
			log.Info("keeper stops")
			clean()
		},
		Reload: func() { log.Info("settings hold from the next start on") },
	}, nil
}
