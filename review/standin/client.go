package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// ask sends a request over a new channel and reads the answer.
func ask(address, id, model string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(16 * time.Second))
	body := "{}"
	if _, err := fmt.Fprintf(conn, "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Model: %s\r\n"+
		"X-Token-Counts: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,%s:250\r\nX-Deadline-Ms: 15000\r\n"+
		"Authorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n%s", id, model, id[8:], len(body), body); err != nil {
		return 0, err
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err
}
