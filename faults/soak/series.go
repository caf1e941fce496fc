package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// minSilence and maxSilence bound how long an endpoint is silent.
	minSilence = time.Second
	maxSilence = 1600 * time.Millisecond
	// calmDeadlyDuration is how long a part of prompts stays deadly after the other faults.
	calmDeadlyDuration = 8 * time.Second
)

// runSeries injects series of faults until ctx ends. They overlap with each other and with the
// single faults.
func (i *Injector) runSeries(ctx context.Context) {
	series := []func(){
		i.silenceEndpoints, i.endAnswersWithConnection, i.restartInSeries, i.signalInSeries, i.leaveOddEntry,
		i.failResumedStreams, i.repeatRefusals, i.answerEarly, i.answerEarly,
	}
	if i.seriesRandom.IntN(2) == 0 {
		i.sendDeadlyPart(ctx)
	}
	for ctx.Err() == nil {
		series[i.seriesRandom.IntN(len(series))]()
		time.Sleep(time.Duration(300+i.seriesRandom.IntN(900)) * time.Millisecond)
	}
}

// seriesDuration draws a duration from minimum to below maximum.
func (i *Injector) seriesDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(i.seriesRandom.Int64N(int64(maximum-minimum)))
}

// endpointFault is a fault of an endpoint as the subject of an injection.
type endpointFault struct {
	endpoint *Endpoint
	fault    EndpointFault
}

func (i *Injector) injectAt(s *Backend, f EndpointFault, d time.Duration) {
	seed := i.seriesRandom.Uint64()
	i.inject("endpoint "+f.String(), endpointFault{s.Endpoint, f}, func() error {
		s.Inject(f, d, seed)
		time.Sleep(d)
		return nil
	})
}

// silenceEndpoints silences one or two endpoints and changes the configuration meanwhile.
func (i *Injector) silenceEndpoints() {
	endpoints := i.cluster.endpoints()
	for range 1 + i.seriesRandom.IntN(2) {
		i.injectAt(endpoints[i.seriesRandom.IntN(len(endpoints))], Silent, i.seriesDuration(minSilence, maxSilence))
	}
	pause := i.seriesDuration(0, maxSilence)
	change := []func() error{i.cluster.WriteConfiguration, i.cluster.WithdrawKey}[i.seriesRandom.IntN(2)]
	i.inject("configuration beside silence", fmt.Sprint("series ", i.seriesRandom.Uint64()), func() error {
		time.Sleep(pause)
		return change()
	})
}

// endAnswersWithConnection makes an endpoint send answers that end with their connection, and one
// endpoint break answers off.
func (i *Injector) endAnswersWithConnection() {
	endpoints := i.cluster.endpoints()
	unframed, broken := endpoints[i.seriesRandom.IntN(len(endpoints))], endpoints[i.seriesRandom.IntN(len(endpoints))]
	i.injectAt(unframed, Unframed, i.seriesDuration(time.Second, 3*time.Second))
	i.injectAt([]*Backend{unframed, broken}[i.seriesRandom.IntN(2)], BrokenOff, i.seriesDuration(minFaultDuration, time.Second))
}

// restartInSeries terminates the gateways or the keepers one after another, without waiting for the
// one before, and changes the configuration and reloads processes meanwhile.
func (i *Injector) restartInSeries() {
	list := i.cluster.processes()
	list = [][]*Process{list[:gatewayCount], list[gatewayCount:]}[i.seriesRandom.IntN(2)]
	var pause time.Duration
	for _, p := range list {
		delay := pause
		i.inject("restart in series", p, func() error {
			time.Sleep(delay)
			return i.restart(p, i.cluster.WriteConfiguration)
		})
		pause += i.seriesDuration(0, time.Second)
	}
	for _, p := range i.cluster.processes() {
		delay := i.seriesDuration(0, 2*time.Second)
		i.inject("reload", fmt.Sprint("reload ", i.seriesRandom.Uint64()), func() error {
			time.Sleep(delay)
			// A process that is starting may not handle the signal yet.
			if p.UndisturbedFor() < time.Second {
				return nil
			}
			return p.Signal(syscall.SIGHUP)
		})
	}
}

// signalInSeries pauses a process while it shuts down, resumes it and terminates it once more.
func (i *Injector) signalInSeries() {
	list := i.cluster.processes()
	p := list[i.seriesRandom.IntN(len(list))]
	delay, pause := i.seriesDuration(0, 300*time.Millisecond), i.seriesDuration(minFaultDuration, 2*time.Second)
	i.inject("signals in series", p, func() error {
		return i.restart(p, func() error {
			time.Sleep(delay)
			err := p.Signal(syscall.SIGSTOP)
			time.Sleep(pause)
			err = errors.CombineErrors(err, p.Signal(syscall.SIGCONT))
			return errors.CombineErrors(err, p.Signal(syscall.SIGTERM))
		})
	})
}

// oddEntries are entries of endpoints that another writer left, with a place for the service.
var oddEntries = []string{
	`{"service":%q,"address":"127.0.0.1:9","zone":"a","slots":8,"state":"ready","born":1,"models":` +
		strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `}`,
	`{"service":%q,"address":"127.0.0.1:9","zone":"a","slots":8,"state":"ready","born":1,"models":` +
		strings.Repeat(`{"name":`, 5000) + "1" + strings.Repeat("}", 5000) + `}`,
	`{"service":%q,"address":"127.0.0.1:9","zone":"a","slots":1e400,"state":"ready","born":1}`,
	`{"service":%q,"address":"127.0.0.1:9","zone":"a","slots":8,"state":"ready","born":99999999999999999999999}`,
	`{"service":%q,"address":"127.0.0.1:70000","zone":"a","slots":8,"state":"ready","born":1}`,
	`{"service":%q,"address":"127.0.0.1:-1","zone":"a","slots":8,"state":"ready","born":1}`,
}

// leaveOddEntry leaves an odd entry among those of the endpoints for some seconds. Meanwhile the
// endpoint of the service late starts, and each gateway has to use it.
func (i *Injector) leaveOddEntry() {
	n := i.seriesRandom.IntN(len(oddEntries))
	entry := fmt.Sprintf(oddEntries[n], []string{"plain", "llm"}[i.seriesRandom.IntN(2)])
	pause, id := i.seriesDuration(0, time.Second), fmt.Sprint("late-", i.seriesRandom.Uint64())
	i.inject(fmt.Sprint("odd entry ", n), i.cluster.late, func() error {
		if err := i.cluster.store.PutRaw(knapweedpulley.KindEndpoints, "odd", []byte(entry)); err != nil {
			return err
		}
		time.Sleep(pause)
		err := i.cluster.late.Start()
		time.Sleep(configurationLimit)
		end := time.Now().Add(recoveryTime)
		for _, g := range i.cluster.gateways {
			for i.cluster.UndisturbedFor(g) <= recoveryTime && time.Now().Before(end) {
				time.Sleep(100 * time.Millisecond)
			}
			i.checkFollows(g, fmt.Sprint(id, "-", g.name), n)
		}
		err = errors.CombineErrors(err, i.cluster.late.Crash())
		return errors.CombineErrors(err, i.cluster.store.Delete(knapweedpulley.KindEndpoints, "odd"))
	})
}

// checkFollows checks that a gateway uses the endpoint of the service late.
func (i *Injector) checkFollows(g *Gateway, id string, entry int) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	o := Outcome{ID: id, Kind: Late, Gateway: g, Timeout: shortTimeout, Sent: time.Now()}
	i.cluster.send(client, &o, "")
	if o.UndisturbedAtEnd <= o.Elapsed+recoveryTime {
		return
	}
	i.mu.Lock()
	i.counts["checks beside odd entries"]++
	i.mu.Unlock()
	if o.Status != http.StatusOK || !o.Complete {
		i.cluster.recorder.RecordViolation("%s does not follow the list of endpoints beside odd entry %d: request %s got status %d",
			g.name, entry, id, o.Status)
	}
}

// failResumedStreams makes one engine break streams off, and the others fail to resume them.
func (i *Injector) failResumedStreams() {
	broken, d := i.seriesRandom.IntN(engineCount), i.seriesDuration(time.Second, 2*time.Second)
	for n, s := range i.cluster.backends[:engineCount] {
		f := ResumeFails
		if n == broken {
			f = BrokenOff
		}
		i.injectAt(s, f, d)
	}
}

// repeatRefusals makes an endpoint write refusals once more.
func (i *Injector) repeatRefusals() {
	endpoints := i.cluster.endpoints()
	i.injectAt(endpoints[i.seriesRandom.IntN(len(endpoints))], RepeatedRefusal, i.seriesDuration(time.Second, 3*time.Second))
}

// answerEarly makes the plain endpoints answer before they have read long bodies, and one of them
// break some answers off.
func (i *Injector) answerEarly() {
	d := i.seriesDuration(2*time.Second, 4*time.Second)
	for _, s := range i.cluster.backends[engineCount:] {
		i.injectAt(s, EarlyAnswer, d)
	}
	broken := i.cluster.backends[engineCount+i.seriesRandom.IntN(plainServiceCount)]
	i.injectAt(broken, BrokenOff, d)
}

// sendDeadlyPart makes a part of prompts deadly until calmDeadlyDuration after the end of ctx, so that
// all gateways are in touch for a part of that time.
func (i *Injector) sendDeadlyPart(ctx context.Context) {
	id, delay := fmt.Sprintf("%08x", i.seriesRandom.Uint32()), i.seriesDuration(0, 2*time.Second)
	i.inject("deadly part", "deadly part", func() error {
		time.Sleep(delay)
		i.cluster.recorder.SetDeadlyPart(id)
		<-ctx.Done()
		time.Sleep(calmDeadlyDuration)
		i.cluster.recorder.EndDeadlyPart()
		return nil
	})
}
