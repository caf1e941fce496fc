package fleet

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// probeInterval is the time between two probes of a process.
	probeInterval = 50 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 2 * time.Second
)

// waitForAll waits until each URL has answered with a 2xx status. It fails when ctx
// ends.
func waitForAll(ctx context.Context, urls []string) error {
	for _, u := range urls {
		if err := waitFor(ctx, u); err != nil {
			return err
		}
	}
	return nil
}

// waitFor waits until a URL answers with a 2xx status. It fails when ctx ends.
func waitFor(ctx context.Context, url string) error {
	return retry(ctx, url, func() error { return probe(ctx, url) })
}

// waitForListener waits until a process accepts connections on an address. It fails
// when ctx ends.
func waitForListener(ctx context.Context, address string) error {
	return retry(ctx, address, func() error {
		dialer := net.Dialer{Timeout: probeTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return errors.Wrap(err, "connect")
		}
		return conn.Close()
	})
}

// retry calls try until it succeeds or ctx ends, with a pause of probeInterval after
// each failure. When ctx ends it returns the last error of try.
func retry(ctx context.Context, name string, try func() error) error {
	for {
		err := try()
		if err == nil {
			return nil
		}
		timer := time.NewTimer(probeInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return errors.Wrapf(err, "%s does not answer", name)
		}
	}
}

func probe(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode/100 != 2 {
		return errors.Newf("got status %s, want 2xx", response.Status)
	}
	return nil
}
