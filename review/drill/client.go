package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// result is what a client saw of one attempt.
type result struct {
	id     string
	status int
	stamp  string
	body   string
	err    error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one attempt and returns what came of it. A status of zero means no whole answer.
func send(c *http.Client, address, method, path, id string, deadline time.Duration, body []byte, header map[string]string) result {
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	check(err)
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+key)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	a, err := c.Do(r)
	if err != nil {
		return result{id: id, err: err}
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return result{id: id, err: err}
	}
	return result{id: id, status: a.StatusCode, stamp: a.Header.Get("X-Server-Stamp"), body: string(text)}
}

// newClient returns a client that keeps its channels open.
func newClient(channels int, timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{
		MaxIdleConnsPerHost: channels, MaxConnsPerHost: channels, DisableCompression: true,
	}}
}
