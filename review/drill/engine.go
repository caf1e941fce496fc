package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
)

// engine is a stand-in for a model server, as far as the cases need it: its report and its orders.
type engine struct {
	*server
	// keeper is the one on the engine's machine.
	keeper *process
	emu    sync.Mutex
	eseq   int
	models []string
	disk   map[string]bool
}

// placeOrder is the body of an order.
type placeOrder struct {
	OpType       string `json:"opType"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Precondition *int   `json:"precondition"`
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fencingToken"`
}

// engine prepares an engine on a machine that holds some models.
func (s *site) engine(machine int, models ...string) *engine {
	e := &engine{server: s.server(machine, engineName, ""), models: models, disk: map[string]bool{}}
	for i := range 6 {
		e.disk[fmt.Sprintf("m%d", i)] = true
	}
	e.server.run = e.handle
	e.server.describe = e.describe
	return e
}

func (e *engine) describe(spec fields) {
	e.emu.Lock()
	defer e.emu.Unlock()
	spec["slots"], spec["stage"], spec["models"], spec["atHand"] = 64, "both", e.held(), fields{"inMemory": []string{}, "onDisk": e.onDisk()}
}

func (e *engine) held() []fields {
	list := []fields{}
	for _, m := range e.models {
		list = append(list, fields{"name": m, "version": 1, "adapters": []string{}})
	}
	return list
}

func (e *engine) onDisk() []string {
	list := []string{}
	for m := range e.disk {
		list = append(list, m)
	}
	return list
}

func (e *engine) handle(v *server, c netConn, r *http.Request, body []byte) bool {
	reply := func(status int, content any) bool {
		b, _ := json.Marshal(content)
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nKeep-Alive: timeout=15\r\nContent-Length: %d\r\n\r\n%s",
			status, http.StatusText(status), len(b), b)
		return err == nil
	}
	switch r.URL.Path {
	case "/api/report":
		e.emu.Lock()
		report := fields{
			"born": v.born, "stage": "both", "models": e.held(), "busy": false, "seq": e.eseq, "queued": 0, "running": 0,
			"kvUsed": 0, "kvTotal": 120388, "handles": 0, "coming": []string{}, "atHand": fields{"inMemory": []string{}, "onDisk": e.onDisk()},
		}
		e.emu.Unlock()
		return reply(200, report)
	case "/api/order":
		var o placeOrder
		if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.FencingToken == 0 {
			return reply(400, nil)
		}
		status := e.carryOut(o)
		e.site.note("engine %s: order %s %s/%s at %d: %d", v.id, o.OpType, o.Model, o.Adapter, *o.Precondition, status)
		return reply(status, fields{})
	}
	return answer(v, c, r, body)
}

// carryOut carries out an order and returns the status of its answer.
func (e *engine) carryOut(o placeOrder) int {
	e.emu.Lock()
	defer e.emu.Unlock()
	if o.Precondition != nil && *o.Precondition != e.eseq {
		return 409
	}
	at := -1
	for i, m := range e.models {
		if m == o.Model {
			at = i
		}
	}
	switch {
	case !strings.HasPrefix(o.Model, "m") || o.Adapter != "":
		return 400
	case o.OpType == "load" && at >= 0, o.OpType == "unload" && at < 0:
		return 200
	case o.OpType == "unload":
		e.models = append(e.models[:at:at], e.models[at+1:]...)
	default:
		e.models = append(e.models, o.Model)
		e.disk[o.Model] = true
	}
	e.eseq++
	return 202
}
