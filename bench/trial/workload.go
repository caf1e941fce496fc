package trial

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// tokenTime is the time to generate one token.
	tokenTime = 27 * time.Millisecond
	// requestTimeout is how long a caller waits for the answer.
	requestTimeout = 30 * time.Second
	// burstSpread is the time over which the first requests of a session arrive.
	burstSpread = 300 * time.Millisecond
	// meanRequestGap is the mean gap between the requests of a session.
	meanRequestGap = 20 * time.Second
	// minSessionGap and maxSessionGap bound the median gaps between sessions.
	minSessionGap = 10 * time.Minute
	maxSessionGap = 4 * time.Hour
	// batchPeriod is the time between the batches of a periodic model.
	batchPeriod = time.Hour
)

// arrival is one request of the workload.
type arrival struct {
	at       time.Duration
	model    knapweedpulley.ModelID
	adapter  knapweedpulley.Option[knapweedpulley.AdapterID]
	customer knapweedpulley.CustomerID
	entry    int
	prompt   knapweedpulley.Tokens
	answer   knapweedpulley.Tokens
	// flood marks a request that a customer sends beyond its usual load.
	flood bool
}

// maxTokens is the upper bound of the tokens that the caller requested.
func (a *arrival) maxTokens() knapweedpulley.Tokens {
	return a.prompt + 2*a.answer
}

// serviceTime is the time for which the engine works on the request.
func (a *arrival) serviceTime() time.Duration {
	return time.Duration(a.answer) * tokenTime
}

// customerShares are the fractions of the models that the customers use.
var customerShares = []float64{0.4, 0.3, 0.15, 0.1, 0.05}

func customerName(i int) knapweedpulley.CustomerID {
	return knapweedpulley.CustomerID(fmt.Sprintf("customer-%d", i))
}

// generator draws the arrivals of a deployment.
type generator struct {
	deployment Deployment
	length     time.Duration
	random     *rand.Rand
	list       []arrival
}

// generateArrivals returns all arrivals in order. They depend only on the arguments.
func generateArrivals(d Deployment, length time.Duration, seed uint64) []arrival {
	g := &generator{deployment: d, length: length, random: rand.New(rand.NewPCG(seed, uint64(d.Models)))} //nolint:gosec // A fixed seed.
	for i := range d.Models {
		switch {
		case i%10 == 0:
			g.addBusyModel(i)
		case i%5 == 1:
			g.addPeriodicModel(i)
		default:
			g.addSessionModel(i)
		}
	}
	sortArrivals(g.list)
	return g.list
}

func sortArrivals(list []arrival) {
	slices.SortStableFunc(list, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
}

// addBusyModel draws requests that never leave a model idle for long.
func (g *generator) addBusyModel(model int) {
	mean := 5*time.Second + time.Duration(g.random.Int64N(int64(10*time.Second)))
	for at := g.exponential(mean); at < g.length; at += g.exponential(mean) {
		g.addArrival(model, at, g.random.IntN(entryCount))
	}
}

// addPeriodicModel draws a batch of requests in each batchPeriod.
func (g *generator) addPeriodicModel(model int) {
	phase := time.Duration(g.random.Int64N(int64(batchPeriod)))
	for at := phase; at < g.length; at += batchPeriod {
		start := at + time.Duration(g.random.Int64N(int64(time.Minute)))
		for range 10 + g.random.IntN(10) {
			g.addArrival(model, start+time.Duration(g.random.Int64N(int64(time.Second))), g.random.IntN(entryCount))
		}
	}
}

// addSessionModel draws sessions, each of which begins with a burst at several entries.
func (g *generator) addSessionModel(model int) {
	span := math.Log(float64(maxSessionGap) / float64(minSessionGap))
	median := float64(minSessionGap) * math.Exp(g.random.Float64()*span)
	at := time.Duration(g.random.Float64() * median)
	for at < g.length {
		for range 2 + g.random.IntN(7) {
			g.addArrival(model, at+time.Duration(g.random.Int64N(int64(burstSpread))), g.random.IntN(entryCount))
		}
		sessionEntry := g.random.IntN(entryCount)
		for range 3 + g.random.IntN(17) {
			at += g.exponential(meanRequestGap)
			g.addArrival(model, at, sessionEntry)
		}
		at += time.Duration(median * math.Exp(g.random.NormFloat64()))
	}
}

func (g *generator) exponential(mean time.Duration) time.Duration {
	return time.Duration(g.random.ExpFloat64() * float64(mean))
}

func (g *generator) addArrival(model int, at time.Duration, entry int) {
	if at >= g.length {
		return
	}
	a := arrival{
		at: at, model: modelName(model), entry: entry, customer: g.customerOf(model),
		prompt: knapweedpulley.Tokens(200 + g.random.IntN(600)),
		answer: knapweedpulley.Tokens(40 + g.random.IntN(160)),
	}
	perModel := max(g.deployment.Adapters/g.deployment.Models, 1)
	if model < g.deployment.Adapters && g.random.IntN(3) == 0 {
		a.adapter = knapweedpulley.Some(knapweedpulley.AdapterID(
			fmt.Sprintf("adapter-%03d-%d", model, g.random.IntN(perModel))))
	}
	g.list = append(g.list, a)
}

// customerOf returns the customer that uses a model.
func (g *generator) customerOf(model int) knapweedpulley.CustomerID {
	position := float64(model*7%g.deployment.Models) / float64(g.deployment.Models)
	for i, s := range customerShares {
		if position < s {
			return customerName(i)
		}
		position -= s
	}
	return customerName(len(customerShares) - 1)
}

// contracts returns a contract for each customer. Its rate is headroom times the mean
// load; its burst is several minutes of that rate, or the largest batch if that is more.
func contracts(list []arrival, length time.Duration) []knapweedpulley.Contract {
	const (
		headroom = 2
		burst    = 5 * time.Minute
		batch    = 25_000
	)
	sums := make(map[knapweedpulley.CustomerID]float64)
	for i := range list {
		if !list[i].flood {
			sums[list[i].customer] += float64(list[i].prompt + list[i].answer)
		}
	}
	var result []knapweedpulley.Contract
	for i := range customerShares {
		rate := knapweedpulley.TokensPerSecond(headroom * sums[customerName(i)] / length.Seconds())
		result = append(result, knapweedpulley.Contract{
			Customer: customerName(i), Rate: rate, Burst: knapweedpulley.Tokens(max(rate.Over(burst), batch)),
		})
	}
	return result
}

// addFlood adds the requests that a customer sends beyond its usual load from one time
// to another: factor times its rate, to its busiest model.
func addFlood(list []arrival, c knapweedpulley.Contract, factor float64, from, to time.Duration, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // A fixed seed.
	model := busiestModel(list, c.Customer)
	result := slices.Clone(list)
	for at := from; at < to; {
		a := arrival{
			at: at, model: model, customer: c.Customer, entry: random.IntN(entryCount), flood: true,
			prompt: knapweedpulley.Tokens(200 + random.IntN(600)),
			answer: knapweedpulley.Tokens(40 + random.IntN(160)),
		}
		result = append(result, a)
		at += time.Duration(float64(a.prompt+a.answer) / (factor * float64(c.Rate)) * float64(time.Second))
	}
	sortArrivals(result)
	return result
}

func busiestModel(list []arrival, customer knapweedpulley.CustomerID) knapweedpulley.ModelID {
	counts := make(map[knapweedpulley.ModelID]int)
	var best knapweedpulley.ModelID
	for i := range list {
		if list[i].customer != customer {
			continue
		}
		m := list[i].model
		counts[m]++
		if counts[m] > counts[best] || (counts[m] == counts[best] && m < best) {
			best = m
		}
	}
	return best
}
