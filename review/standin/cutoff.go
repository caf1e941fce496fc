package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the tenant and of the rule QUOTA, as on the pages.
const (
	tenantRate    = 32354.0
	tenantBurst   = 32354.0
	quotaWindow   = 8 * time.Second
	quotaOverage  = 0.1
	quotaSlack    = 11000.0
	requestTokens = 1460 + 80

	cutGateways = 4
	cutEngines  = 3
	// cutTime is how long the gateway is cut off, hotAfter is when the tenant begins to send more.
	cutTime  = 12 * time.Second
	hotAfter = 3500 * time.Millisecond
	hotTime  = 8300 * time.Millisecond
	// hotRate is the number of requests a second that the tenant sends to each gateway.
	hotRate = 16
)

// run is a request that ran.
type run struct {
	sent, arrived time.Duration
}

// cutOff checks rule QUOTA while one of four gateways is cut off from the machines beside the
// engines.
func cutOff(d *deployment, trouble bool) ([]string, error) {
	var mu sync.Mutex
	start := time.Now()
	sent := make(map[string]time.Duration)
	arrived := make(map[string]time.Duration)
	var cutPID atomic.Int64
	var gateways []*gatewayProcess
	pids := func() []int {
		mu.Lock()
		defer mu.Unlock()
		var list []int
		for _, g := range gateways {
			if g.command != nil {
				list = append(list, g.command.Process.Pid)
			}
		}
		return list
	}
	isCut := func(pid int) bool { return pid != 0 && int64(pid) == cutPID.Load() }
	models := []string{"daka510000"}
	d.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "host": "ficu95.example", "pathPrefix": "/lohu930/", "kind": "streaming", "timeoutMs": 15000,
			"targetLatencyMs": 600, "priority": 2, "service": "huvo11a", "maxAttempts": 2, "public": false, "sticky": true,
			"resumable": true, "gapAimMs": 300,
		}},
		"services": []map[string]any{engineService("huvo11a", models)},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{
			"name": "hule930", "apiKeys": []string{"key-1"}, "priority": 1, "unit": "tokens", "plainTokens": 200,
			"ratePerS": tenantRate, "burst": tenantBurst,
		}},
	})
	for n := range cutEngines {
		e := &engine{
			record: d.record, id: fmt.Sprintf("i-%d", n+1), service: "huvo11a", zone: "cuyo-a", address: d.ip(30, n+1) + ":8080",
			models: models, born: time.Now().UnixMilli(), eventGap: 20 * time.Millisecond,
			onArrival: func(r *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				arrived[r.Header.Get("X-Request-Id")] = time.Since(start)
			},
		}
		if err := d.startEngine(e); err != nil {
			return nil, err
		}
		k, err := d.newKeeper(n+1, d.ip(31, n+1), e.address)
		if err != nil {
			return nil, err
		}
		if err := k.start(); err != nil {
			return nil, err
		}
		address := fmt.Sprintf(":%d", portFirst)
		if _, err := d.newProxy(d.ip(30, n+1)+address, d.ip(31, n+1)+address, pids, isCut); err != nil {
			return nil, err
		}
	}
	for n := range cutGateways {
		g, err := d.newGateway(n+1, "cuyo-"+string(rune('a'+n)), d.storeAddress())
		if err != nil {
			return nil, err
		}
		if err := g.start(); err != nil {
			return nil, err
		}
		mu.Lock()
		gateways = append(gateways, g)
		mu.Unlock()
	}
	for _, g := range gateways {
		if err := g.awaitReady(20 * time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(6 * time.Second)
	if trouble {
		cutPID.Store(int64(gateways[cutGateways-1].command.Process.Pid))
		d.record.printf("%s is cut off from the machines beside the engines", gateways[cutGateways-1].name)
	}
	cutAt := time.Now()
	time.Sleep(hotAfter)
	d.record.printf("the tenant sends %d requests a second of %d tokens to each of %d gateways", hotRate, requestTokens, cutGateways)
	var group sync.WaitGroup
	var answered, refused, other atomic.Int64
	for n := range int(hotTime.Seconds() * hotRate) {
		for i, g := range gateways {
			id := fmt.Sprintf("%04x%012x", i+1, n+1)
			mu.Lock()
			sent[id] = time.Since(start)
			mu.Unlock()
			group.Go(func() {
				status, err := ask(g.callers, id, models[0])
				switch {
				case err == nil && status == http.StatusOK:
					answered.Add(1)
				case err == nil && status == http.StatusTooManyRequests:
					refused.Add(1)
				default:
					other.Add(1)
				}
			})
		}
		time.Sleep(time.Second / hotRate)
	}
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	cutPID.Store(0)
	d.record.printf("the cut has ended")
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id, at := range sent {
		if ran, ok := arrived[id]; ok {
			d.record.printf("%s sent at %.3f ran at %.3f", id, at.Seconds(), ran.Seconds())
		} else {
			d.record.printf("%s sent at %.3f did not run", id, at.Seconds())
		}
	}
	d.record.printf("answered %d, refused with 429 %d, other %d", answered.Load(), refused.Load(), other.Load())
	if answered.Load() == 0 {
		return nil, fmt.Errorf("no request was answered")
	}
	return checkQuota(d, sent, arrived), nil
}

// checkQuota returns the window with most tokens if that has more than rule QUOTA allows.
func checkQuota(d *deployment, sent, arrived map[string]time.Duration) []string {
	var runs []run
	for id, at := range arrived {
		runs = append(runs, run{sent: sent[id], arrived: at})
	}
	allowed := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOverage) + quotaSlack
	most, from := 0, time.Duration(0)
	for _, first := range runs {
		n := 0
		for _, r := range runs {
			if r.sent >= first.sent && r.arrived <= first.sent+quotaWindow {
				n += requestTokens
			}
		}
		if n > most {
			most, from = n, first.sent
		}
	}
	slices.SortFunc(runs, func(a, b run) int { return int(a.sent - b.sent) })
	text := fmt.Sprintf("%d tokens were sent and ran in 8 s from %.3f, allowed are %.0f", most, from.Seconds(), allowed)
	d.record.printf("%s", text)
	if float64(most) > allowed {
		return []string{"QUOTA: " + text}
	}
	return nil
}
