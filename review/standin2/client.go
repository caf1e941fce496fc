package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// client sends requests to a gateway, each over a new channel.
type client struct {
	record  *record
	address string
	host    string
	key     string
	http    *http.Client
}

func newClient(r *record, address, host, key string) *client {
	return &client{record: r, address: address, host: host, key: key, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// stream sends a request for a model and reads its stream. It returns the number of events and whether the
// stream was complete.
func (c *client) stream(id, path, model string, tokens int, limit time.Duration) (events int, complete bool) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, strings.NewReader("question"))
	if err != nil {
		c.record.printf("client: %v", err)
		return 0, false
	}
	r.Host = c.host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	r.Header.Set("X-Model", model)
	r.Header.Set("X-Token-Counts", fmt.Sprintf("100,%d", tokens))
	r.Header.Set("X-Prompt-Prefix", "5c1e07a2:80,"+id+":20")
	r.Header.Set("Authorization", "Bearer "+c.key)
	c.record.printf("client: sends request %s for %s", id, model)
	answer, err := c.http.Do(r)
	if err != nil {
		c.record.printf("client: request %s failed: %v", id, err)
		return 0, false
	}
	defer answer.Body.Close()
	scanner := bufio.NewScanner(answer.Body)
	last := ""
	for scanner.Scan() {
		if id, found := strings.CutPrefix(scanner.Text(), "id: "); found {
			events++
			last = id
		}
	}
	complete = answer.StatusCode == http.StatusOK && scanner.Err() == nil
	c.record.printf("client: request %s: status %d, %d events, last %q, complete %t", id, answer.StatusCode, events, last, complete)
	return events, complete
}

// ready reports whether a gateway says that it is ready.
func ready(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api/readyz", nil)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
