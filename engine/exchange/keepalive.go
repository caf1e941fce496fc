package exchange

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// keepTimeout returns how long a connection is kept by what the endpoint says.
func keepTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(float64(n) * keptPart * float64(time.Second))
		}
	}
	return keptIdle
}
