package exchange

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// keepAliveTimeout returns how long to keep an idle connection, from the Keep-Alive field
// of the endpoint's answer.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(float64(n) * keepAliveFraction * float64(time.Second))
		}
	}
	return defaultKeepAlive
}
