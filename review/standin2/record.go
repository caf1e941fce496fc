package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what is sent, answered and run, with the time since its start.
type record struct {
	mu     sync.Mutex
	file   *os.File
	start  time.Time
	broken []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that a rule was broken.
func (r *record) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.printf("RULE BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

func (r *record) isBroken() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken) > 0
}
