package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// modelServers is the number of model servers, faultyServers of which answer one stream in unframedEvery without
	// a length: the site file's largest dose of such answers is a share of 0.05, at half of the servers.
	modelServers  = 9
	faultyServers = 4
	unframedEvery = 20
	// Each of the faulty servers crashes once in crashPeriod, one after the other, and is away for awayTime. So at most
	// two are down at a time; the site file's srv_crash has shares of up to 0.25 and 2 to 4.5 s.
	crashPeriod = 6 * time.Second
	awayTime    = 2 * time.Second
	crashTime   = 84 * time.Second
	// freezeTime is how long the gateway stands still with TROUBLE=freeze, freezeToCrash the time from its beginning
	// to the crash: the site file's node_freeze.
	freezeTime    = 3500 * time.Millisecond
	freezeToCrash = 500 * time.Millisecond
	// pieces is the number of events of a stream, longPieces that of one without a length: the site's streams have
	// 57 in the mean and 198 at most. pieceTime is the time between two, streams the number of streams that run at a
	// time.
	pieces     = 57
	longPieces = 198
	pieceTime  = 30 * time.Millisecond
	streams    = 36
	// otherChannels is the number of idle channels that other callers keep to a server; the site allows 360 in all.
	otherChannels = 150
	reportPath    = "/api/report"
)

// cut lets model servers crash while streams come from them, a few of which have no length and end with their
// channel. It checks that no stream ends as complete before its last event. With TROUBLE=freeze the gateway freezes
// shortly before each crash and wakes when the server is back.
func cut(s *site, trouble bool) {
	freeze := os.Getenv("TROUBLE") == "freeze"
	s.store.put("config", "main", configuration(7))
	var servers []*modelServer
	for i := range modelServers {
		m := s.modelServer(20 + i)
		if i < faultyServers {
			m.every = unframedEvery
		}
		m.start(fmt.Sprintf("i-engine-%d-0", i))
		servers = append(servers, m)
		s.keeper(20 + i).start()
	}
	g := s.gateway(2, "cuyo-a")
	g.start()
	if !s.awaitReady(2, 10*time.Second) {
		check(fmt.Errorf("the gateway isn't ready"))
	}
	time.Sleep(contactTime)
	var early, whole, cutOff, refused atomic.Int64
	done := make(chan struct{})
	var group sync.WaitGroup
	for range streams {
		group.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(rand.N(200 * time.Millisecond)):
				}
				id := newID()
				n, total, status, err := s.readStream(s.callers(2), id)
				switch {
				case status != http.StatusOK:
					refused.Add(1)
				case err != nil:
					cutOff.Add(1)
					s.note("stream %s: %d of %d events, then: %v", id, n, total, err)
				case n < total:
					early.Add(1)
					s.note("stream %s: %d of %d events, and the answer ENDS AS COMPLETE", id, n, total)
				default:
					whole.Add(1)
				}
			}
		})
	}
	crashed := 0
	for until := time.Now().Add(crashTime); time.Now().Before(until); crashed++ {
		time.Sleep(crashPeriod / faultyServers)
		if !trouble {
			continue
		}
		n := crashed % faultyServers
		if freeze {
			g.signal(syscall.SIGSTOP)
			time.Sleep(freezeToCrash)
		}
		servers[n].kill()
		restart := func() { servers[n].start(fmt.Sprintf("i-engine-%d-%d", n, crashed+1)) }
		if !freeze {
			time.AfterFunc(awayTime, restart)
			continue
		}
		time.Sleep(awayTime)
		restart()
		time.Sleep(freezeTime - freezeToCrash - awayTime)
		g.signal(syscall.SIGCONT)
	}
	time.Sleep(awayTime)
	time.Sleep(contactTime)
	close(done)
	group.Wait()
	if !trouble {
		crashed = 0
	}
	s.finish(early.Load() > 0, "%d crashes; %d streams ended as complete before their last event; %d were cut recognizably, %d were whole, %d refused",
		crashed, early.Load(), cutOff.Load(), whole.Load(), refused.Load())
}

// readStream sends a request for a stream, and reads until its end. It returns the number of events, how many
// there are, the status, and the error with which the answer ended, if that isn't complete.
func (s *site) readStream(address, id string) (events, total, status int, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, 0, 0, err
	}
	defer c.Close()
	fmt.Fprintf(c, "POST %s2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Model: m0\r\nX-Token-Counts: 20,171\r\n"+
		"X-Deadline-Ms: 20000\r\nAuthorization: Bearer %s\r\nContent-Length: 8\r\n\r\nquestion",
		summaryPrefix, host, id, key)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, 0, err
	}
	if r.StatusCode != http.StatusOK {
		return 0, 0, r.StatusCode, nil
	}
	in := bufio.NewReader(r.Body)
	n := 0
	for {
		line, err := in.ReadString('\n')
		if strings.HasPrefix(line, "id: ") {
			n++
		}
		if text, found := strings.CutPrefix(line, "data: of "); found {
			total, _ = strconv.Atoi(strings.TrimSpace(text))
		}
		if err == io.EOF {
			return n, total, r.StatusCode, nil
		}
		if err != nil {
			return n, total, r.StatusCode, err
		}
	}
}

// modelServer is a model server that runs as a process of its own, so that it can crash.
type modelServer struct {
	*server
	// every is how many streams lie between two without a length, zero if there are none.
	every int
	cmd   *exec.Cmd
}

func (s *site) modelServer(machine int) *modelServer {
	m := &modelServer{server: s.server(machine, engineName, "")}
	m.describe = func(spec fields) {
		spec["slots"], spec["stage"] = 64, "both"
		spec["models"] = []fields{{"name": "m0", "version": 1, "adapters": []string{}}}
		spec["atHand"] = fields{"inMemory": []string{"m0"}, "onDisk": []string{"m0"}}
	}
	return m
}

// start starts the process, and reports it to the store about every 1.2 s.
func (m *modelServer) start(id string) {
	m.mu.Lock()
	m.id, m.born, m.seq, m.stop = id, time.Now().UnixMilli(), 0, make(chan struct{})
	stop := m.stop
	m.mu.Unlock()
	m.cmd = exec.Command(os.Args[0], "serve", m.address(), id, strconv.FormatInt(m.born, 10), strconv.Itoa(m.every))
	m.cmd.Stderr = os.Stderr
	check(m.cmd.Start())
	trackProcess(m.cmd.Process)
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", m.address()); err == nil {
			_ = c.Close()
			break
		}
	}
	for range otherChannels {
		m.keepChannel()
	}
	m.register("ready")
	m.site.note("server %s runs as process %d", id, m.cmd.Process.Pid)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
				m.register("ready")
			}
		}
	}()
}

// keepChannel opens a channel, asks for the server's report and keeps the channel until the server closes it.
func (m *modelServer) keepChannel() {
	c, err := net.Dial("tcp", m.address())
	if err != nil {
		return
	}
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", reportPath, m.address())
	go func() {
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}()
}

// kill ends the process with SIGKILL.
func (m *modelServer) kill() {
	close(m.stop)
	m.site.note("server %s is killed", m.id)
	_ = m.cmd.Process.Kill()
	_ = m.cmd.Wait()
}

// serveModels is the process of a model server. Of its streams, one in every, at random, has no length and ends with its
// channel.
func serveModels(address, id string, born int64, every int) {
	v := &server{id: id, born: born, conns: make(map[net.Conn]bool)}
	v.run = func(v *server, c netConn, r *http.Request, _ []byte) bool {
		if r.URL.Path == reportPath {
			body := fmt.Sprintf(`{"born":%d,"stage":"both","models":[{"name":"m0","version":1,"adapters":[]}],"busy":false,"seq":0,`+
				`"queued":0,"running":0,"kvUsed":0,"kvTotal":120388,"handles":0,"coming":[],"atHand":{"inMemory":["m0"],"onDisk":["m0"]}}`, born)
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			return err == nil
		}
		total := pieces
		framing, whole := "Transfer-Encoding: chunked", every == 0 || rand.IntN(every) != 0
		if !whole {
			framing, total = "Connection: close", longPieces
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s.%d\r\n\r\n",
			framing, r.Header.Get("X-Request-Id"), id, born)
		for n := 1; n <= total; n++ {
			event := fmt.Sprintf("id: %d\ndata: of %d\n\n", n, total)
			if whole {
				event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
			}
			if _, err := io.WriteString(c, event); err != nil {
				return false
			}
			time.Sleep(pieceTime)
		}
		if whole {
			_, err := io.WriteString(c, "0\r\n\r\n")
			return err == nil
		}
		return false
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	for {
		c, err := l.Accept()
		if err != nil {
			os.Exit(2)
		}
		go v.serve(c)
	}
}
