package gateway_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/contract"
	"github.com/knapweedpulley/knapweedpulley/fleet"
	"github.com/knapweedpulley/knapweedpulley/gateway"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
)

const (
	// otherCustomer is the customer into which testCustomer is merged.
	otherCustomer knapweedpulley.CustomerID = "other"
	// price is what the calls of the tests cost.
	price knapweedpulley.Tokens = 100
	// firstPriority is the priority of the calls at their first admission, changedPriority the one after
	// a change of the route.
	firstPriority   = 3
	changedPriority = 1
)

var testKey = knapweedpulley.HashKey("key")

// attemptRecorder records the attempts that an exchanger gets.
type attemptRecorder struct {
	knapweedpulley.Exchanger

	mu   sync.Mutex
	seen []knapweedpulley.Attempt
}

// Exchange implements knapweedpulley.Exchanger.
func (r *attemptRecorder) Exchange(ctx context.Context, a knapweedpulley.Attempt) (knapweedpulley.Reply, error) {
	r.mu.Lock()
	r.seen = append(r.seen, a)
	r.mu.Unlock()
	return r.Exchanger.Exchange(ctx, a)
}

// account returns the account of a customer with the given keys. Its contract counts tokens.
func account(customer knapweedpulley.CustomerID, keys ...knapweedpulley.KeyHash) knapweedpulley.Account {
	return knapweedpulley.Account{
		Contract: knapweedpulley.Contract{Customer: customer}, Keys: keys, CountsTokens: true, DefaultCharge: price,
	}
}

// passKeyOn merges testCustomer into otherCustomer.
func passKeyOn(i *knapweedpulley.Installation) {
	i.Accounts = []knapweedpulley.Account{account(otherCustomer, testKey)}
}

func withdrawKey(i *knapweedpulley.Installation) {
	i.Accounts = []knapweedpulley.Account{account(testCustomer), account(otherCustomer)}
}

// changeTerms changes the priority of the route and the contract of testCustomer.
func changeTerms(i *knapweedpulley.Installation) {
	i.Routes[0].Priority = changedPriority
	i.Accounts = []knapweedpulley.Account{account(testCustomer, testKey), account(otherCustomer)}
	i.Accounts[0].CountsTokens = false
}

// withKey gives a call testKey and its price.
func withKey(c *knapweedpulley.Call) {
	c.Key = knapweedpulley.Some(testKey)
	c.Prompt, c.Completion, c.HasTokenCounts = price/2, price/2, true
}

// accountedDeployment is a deployment in which calls need a key.
type accountedDeployment struct {
	deployment
	recorder   *attemptRecorder
	allowances *contract.Allowances
}

// withAccounts returns a deployment as one in which calls need testKey. The tokens of the customers
// don't accrue. Those of otherCustomer have the given burst, half of which is there.
func (d deployment) withAccounts(burst knapweedpulley.Tokens) *accountedDeployment {
	d.accounts = []knapweedpulley.Account{account(testCustomer, testKey), account(otherCustomer)}
	d.route.Priority = firstPriority
	self := knapweedpulley.Member{Entry: "one"}
	peers := gateway.NewPeers(self)
	peers.SetMembers([]knapweedpulley.Member{self})
	a := contract.NewAllowances(fake.Clock{}, "one", 1)
	a.Configure([]knapweedpulley.Contract{
		{Customer: testCustomer, Rate: 1e-9, Burst: 1e6}, {Customer: otherCustomer, Rate: 1e-9, Burst: burst},
	})
	a.Assign([]knapweedpulley.Member{self})
	d.rateLimiter = gateway.NewRateLimiter(a, &fakeAllowanceLink{}, peers, fake.Clock{}, logbook.New(io.Discard, log.InfoLevel, "test", "test"))
	r := &attemptRecorder{Exchanger: d.exchanger}
	d.exchanger = r
	return &accountedDeployment{deployment: d, recorder: r, allowances: a}
}

// lacking returns how many tokens a customer lacks until its allowance is full.
func (d *accountedDeployment) lacking(customer knapweedpulley.CustomerID) knapweedpulley.Tokens {
	return d.allowances.Take(customer, 1e9, 0).Lacking
}

// waitingPlace is a place where a call waits or is sent again while the configuration changes.
type waitingPlace struct {
	name string
	// prepare returns the deployment of the call. It is called in the bubble.
	prepare func() deployment
	// setUp changes the state of the gateway before the call.
	setUp func(t *testing.T, d *accountedDeployment, g *gateway.Gateway)
	// call changes the call.
	call func(*knapweedpulley.Call)
	// changeAfter is when the configuration changes, after the call.
	changeAfter time.Duration
	// before is the number of attempts before the change, after that of the attempts after it.
	before, after int
	// ran is set if the call may have run before the change, begun if its answer has begun.
	ran, begun bool
	answer     string
}

// observation is what endpoints, customers and the caller saw of a call.
type observation struct {
	attempts []knapweedpulley.Attempt
	// charged is what each customer was charged.
	charged map[knapweedpulley.CustomerID]knapweedpulley.Tokens
	answer  *recordedAnswer
	err     error
}

// serve serves a call beside a change of the configuration.
func (p waitingPlace) serve(t *testing.T, change func(*knapweedpulley.Installation), burst knapweedpulley.Tokens) observation {
	t.Helper()
	d := p.prepare().withAccounts(burst)
	d.objects = d.newStore(t)
	g := d.newGateway(t)
	if p.setUp != nil {
		p.setUp(t, d, g)
	}
	call := func(c *knapweedpulley.Call) {
		withKey(c)
		if p.call != nil {
			p.call(c)
		}
	}
	earlier := len(d.recorder.seen)
	o := observation{charged: make(map[knapweedpulley.CustomerID]knapweedpulley.Tokens)}
	for _, customer := range []knapweedpulley.CustomerID{testCustomer, otherCustomer} {
		o.charged[customer] = -d.lacking(customer)
	}
	o.answer, o.err = d.serveAt(t, g, p.changeAfter, change, call)
	time.Sleep(d.crashCheckTime)
	for customer := range o.charged {
		o.charged[customer] += d.lacking(customer)
	}
	o.attempts = d.recorder.seen[earlier:]
	return o
}

// assertSeen asserts the customer and the priority of each attempt.
func (o observation) assertSeen(t *testing.T, n int, customers []knapweedpulley.CustomerID, priorities []int) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(o.attempts), n)
	for i, a := range o.attempts {
		is.Equal(a.Customer.Or(""), customers[i])
		is.Equal(a.Priority, priorities[i])
	}
}

// assertCharged asserts what testCustomer and otherCustomer were charged.
func (o observation) assertCharged(t *testing.T, first, other knapweedpulley.Tokens) {
	t.Helper()
	is := is.New(t)
	is.Equal(o.charged[testCustomer], first)
	is.Equal(o.charged[otherCustomer], other)
}

// assertRefused asserts that the call was refused with a code and that the verdict is true.
func (o observation) assertRefused(t *testing.T, p waitingPlace, code knapweedpulley.Code) {
	t.Helper()
	if p.begun {
		assertIncomplete(t, o.answer, o.err, o.answer.body.String())
		return
	}
	is := is.New(t)
	var refusal *knapweedpulley.Refusal
	is.True(errors.As(o.err, &refusal))
	is.Equal(refusal.Code, code)
	is.Equal(refusal.Verdict == knapweedpulley.MayHaveRun, p.ran)
	is.Equal(len(o.answer.heads), 0)
}

// priceIf returns the price of the call if it is charged.
func priceIf(charged bool) knapweedpulley.Tokens {
	if charged {
		return price
	}
	return 0
}

// repeated returns n times the first value and m times the second.
func repeated[T any](n int, first T, m int, second T) []T {
	return slices.Concat(slices.Repeat([]T{first}, n), slices.Repeat([]T{second}, m))
}

var (
	fullAnswer   = scriptedAnswer{status: http.StatusServiceUnavailable, notRun: true}
	silentStream = scriptedAnswer{silence: time.Minute, silentAfter: 1, events: []string{"1", "2"}}
	restOfStream = scriptedAnswer{events: []string{"2", "3"}}
)

// waitingPlaces returns all places where a call waits or is sent again.
func waitingPlaces() []waitingPlace {
	return slices.Concat(placesBeforeRun(), placesAfterRun())
}

// placesBeforeRun returns the places where a call waits that no endpoint has run.
func placesBeforeRun() []waitingPlace {
	stream := func(answers ...scriptedAnswer) func() deployment {
		return func() deployment {
			d, _ := streamDeployment(append(answers, scriptedAnswer{events: []string{"1"}})...)
			return d
		}
	}
	held := fullAnswer
	held.retryAfter = 400 * time.Millisecond
	return []waitingPlace{
		{
			name: "while a model is loaded", changeAfter: 300 * time.Millisecond, after: 1, answer: "1 ",
			prepare: func() deployment {
				d := stream()()
				d.service.Engine = knapweedpulley.Some(knapweedpulley.EngineSpec{
					Memory: 100, Models: map[knapweedpulley.ModelID]knapweedpulley.ModelSpec{
						"m": {Model: "m", Size: 50, RemoteLoadTime: 400 * time.Millisecond},
					},
				})
				d.keepers = lateKeeper{loadedAt: time.Now().Add(1200 * time.Millisecond)}
				return d
			},
			call: func(c *knapweedpulley.Call) { c.Model = knapweedpulley.Some[knapweedpulley.ModelID]("m") },
		},
		{
			name: "without an endpoint", changeAfter: 30 * time.Millisecond, after: 1, answer: "1 ",
			prepare: withFleet(stream()), setUp: loseEndpoints,
		},
		{
			name: "while its endpoints want no requests", changeAfter: 100 * time.Millisecond, before: 2, after: 1, answer: "1 ",
			prepare: stream(held, held),
		},
		{
			name: "after refusals by its endpoints", changeAfter: 20 * time.Millisecond, before: 2, after: 1, answer: "1 ",
			prepare: stream(fullAnswer, fullAnswer),
		},
		{
			name: "as a probe", changeAfter: 30 * time.Millisecond, after: 1, answer: "1 ",
			prepare: withFleet(func() deployment {
				d, _ := crashingDeployment()
				d.exchanger = &partExchanger{script: scriptedAnswer{broken: true}}
				return d
			}),
			setUp: func(t *testing.T, d *accountedDeployment, g *gateway.Gateway) {
				t.Helper()
				refusePart(t, d, g)
				loseEndpoints(t, d, g)
			},
			call: func(c *knapweedpulley.Call) {
				c.PromptParts = []knapweedpulley.PromptPart{{ID: deadlyPart, Tokens: 40}, {ID: "own", Tokens: 40}}
			},
		},
	}
}

// placesAfterRun returns the places where a call waits or is sent again that may have run.
func placesAfterRun() []waitingPlace {
	stream := func(answers ...scriptedAnswer) func() deployment {
		return func() deployment {
			d, _ := streamDeployment(answers...)
			return d
		}
	}
	whole := func(answers ...scriptedAnswer) func() deployment {
		return func() deployment {
			d, _ := wholeDeployment(answers...)
			return d
		}
	}
	return []waitingPlace{
		{
			name: "after a failure", changeAfter: 50 * time.Millisecond, before: 1, after: 1, ran: true, answer: "balance",
			prepare: whole(scriptedAnswer{silence: 100 * time.Millisecond, status: http.StatusInternalServerError}, scriptedAnswer{body: "balance"}),
		},
		{
			name: "after a stream broke off", changeAfter: 50 * time.Millisecond, before: 1, after: 1, ran: true, begun: true, answer: "1 2 3 ",
			prepare: stream(
				scriptedAnswer{silence: 100 * time.Millisecond, silentAfter: 1, events: []string{"1"}, broken: true}, restOfStream),
		},
		{
			name: "after the gateway has moved a stream", changeAfter: 1010 * time.Millisecond, before: 2, after: 1, ran: true, begun: true,
			answer: "1 2 3 ", prepare: stream(silentStream, fullAnswer, restOfStream),
		},
		{
			name:        "after the gateway has moved a whole answer",
			changeAfter: 310 * time.Millisecond, before: 2, after: 1, ran: true, answer: "balance",
			prepare: whole(scriptedAnswer{silence: time.Minute, body: "a"}, fullAnswer, scriptedAnswer{body: "balance"}),
		},
		{
			name:        "while the endpoint of a moved stream is checked",
			changeAfter: 1010 * time.Millisecond, before: 1, after: 1, ran: true, begun: true, answer: "1 2 3 ",
			prepare: func() deployment {
				d := stream(silentStream, restOfStream)()
				d.crashCheckTime = 700 * time.Millisecond
				return d
			},
		},
		{
			name:        "while a moved stream waits for the retry budget",
			changeAfter: 1100 * time.Millisecond, before: 2, after: 1, ran: true, begun: true, answer: "1 2 3 ",
			prepare: func() deployment {
				d := stream(silentStream, fullAnswer, restOfStream)()
				d.retryBudget = gateway.NewRetryBudget(2.5, 1)
				return d
			},
			setUp: func(_ *testing.T, d *accountedDeployment, _ *gateway.Gateway) {
				time.AfterFunc(1500*time.Millisecond, func() {
					for range 10 {
						d.retryBudget.Deposit(d.service.ID)
					}
				})
			},
		},
	}
}

// withFleet gives a deployment a fleet that the test can change.
func withFleet(prepare func() deployment) func() deployment {
	return func() deployment {
		d := prepare()
		d.fleet = fleet.New(fake.Clock{}, "a")
		return d
	}
}

// loseEndpoints takes the endpoints away until 80 ms later.
func loseEndpoints(_ *testing.T, d *accountedDeployment, _ *gateway.Gateway) {
	list := make([]knapweedpulley.RegisteredEndpoint, 0, len(d.endpoints))
	for id, e := range d.fleet.Endpoints() {
		r := *e.Registration()
		r.ID = id
		list = append(list, r)
	}
	d.fleet.Update(nil)
	time.AfterFunc(80*time.Millisecond, func() { d.fleet.Update(list) })
}

// refusePart has a gateway refuse deadlyPart. Afterwards it may probe it.
func refusePart(t *testing.T, d *accountedDeployment, g *gateway.Gateway) {
	t.Helper()
	for n := range 20 {
		_, err := serveCall(t, g, withKey, func(c *knapweedpulley.Call) {
			c.Fingerprint = knapweedpulley.Fingerprint(n + 1)
			c.PromptParts = []knapweedpulley.PromptPart{{ID: "system", Tokens: 40}, {ID: deadlyPart, Tokens: 40}, {ID: "own", Tokens: 40}}
			if n%2 == 1 {
				c.PromptParts = slices.Delete(c.PromptParts, 1, 2)
			}
		})
		is.New(t).True(err != nil || n%2 == 1)
		time.Sleep(250 * time.Millisecond)
	}
	x, _ := d.recorder.Exchanger.(*partExchanger)
	x.script = scriptedAnswer{events: []string{"1"}}
	time.Sleep(10 * time.Second)
}

func TestWaitingCallIsAdmittedAnew(t *testing.T) {
	const burst = 1e6
	for _, p := range waitingPlaces() {
		inBubble("a key that another customer holds now, "+p.name, t, func(t *testing.T) {
			o := p.serve(t, passKeyOn, burst)
			assertAnswered(t, o.answer, o.err, p.answer)
			o.assertSeen(t, p.before+p.after, repeated(p.before, testCustomer, p.after, otherCustomer),
				repeated(p.before+p.after, firstPriority, 0, 0))
			o.assertCharged(t, priceIf(p.ran), price)
		})
		inBubble("a key that is gone, "+p.name, t, func(t *testing.T) {
			o := p.serve(t, withdrawKey, burst)
			o.assertRefused(t, p, knapweedpulley.CodeInvalidKey)
			o.assertSeen(t, p.before, repeated(p.before, testCustomer, 0, ""), repeated(p.before, firstPriority, 0, 0))
			o.assertCharged(t, priceIf(p.ran), 0)
		})
		inBubble("another priority and contract, "+p.name, t, func(t *testing.T) {
			o := p.serve(t, changeTerms, burst)
			assertAnswered(t, o.answer, o.err, p.answer)
			o.assertSeen(t, p.before+p.after, repeated(p.before+p.after, testCustomer, 0, ""),
				repeated(p.before, firstPriority, p.after, changedPriority))
			o.assertCharged(t, price, 0)
		})
		inBubble("a key of a customer that is over its rate now, "+p.name, t, func(t *testing.T) {
			o := p.serve(t, passKeyOn, 2)
			o.assertRefused(t, p, knapweedpulley.CodeRateExceeded)
			o.assertSeen(t, p.before, repeated(p.before, testCustomer, 0, ""), repeated(p.before, firstPriority, 0, 0))
			o.assertCharged(t, priceIf(p.ran), 0)
			if !p.begun {
				is.New(t).True(knapweedpulley.RefusalOf(o.err, "").RetryAfter > 0)
			}
		})
	}
}

// A call whose key was withdrawn waited on for its model, and its request for a load counted on.
func TestWaitingCallWhoseKeyIsWithdrawnIsRefusedAtOnce(t *testing.T) {
	p := placesBeforeRun()[0]
	inBubble(p.name, t, func(t *testing.T) {
		var began time.Time
		p.setUp = func(*testing.T, *accountedDeployment, *gateway.Gateway) { began = time.Now() }
		o := p.serve(t, withdrawKey, price)
		is.New(t).Equal(time.Since(began), p.changeAfter)
		o.assertRefused(t, p, knapweedpulley.CodeInvalidKey)
		o.assertSeen(t, 0, nil, nil)
		o.assertCharged(t, 0, 0)
	})
	inBubble(p.name+", beside a change that leaves its key", t, func(t *testing.T) {
		o := p.serve(t, passKeyOn, 1e6)
		assertAnswered(t, o.answer, o.err, p.answer)
	})
}

// accrue gives both customers a rate with which the price of a call accrues in 100 ms, and no tokens.
func accrue(_ *testing.T, d *accountedDeployment, _ *gateway.Gateway) {
	d.allowances.Configure([]knapweedpulley.Contract{
		{Customer: testCustomer, Rate: 1000, Burst: 1000}, {Customer: otherCustomer, Rate: 1000, Burst: 1000},
	})
	for _, customer := range []knapweedpulley.CustomerID{testCustomer, otherCustomer} {
		d.allowances.Take(customer, 1000, 0)
	}
}

// queueFor is accrue with queues for the tokens.
func queueFor(t *testing.T, d *accountedDeployment, g *gateway.Gateway) {
	t.Helper()
	d.allowances.EnableQueues()
	accrue(t, d, g)
}

// A call that waited for the tokens of its rate waited on after its key or its route was gone.
func TestCallThatWaitsForItsRateIsRefusedAtOnceWhenItIsNoLongerAdmitted(t *testing.T) {
	const changeAfter = 50 * time.Millisecond
	changes := []struct {
		name   string
		change func(*knapweedpulley.Installation)
		code   knapweedpulley.Code
	}{
		{"a key that is gone", withdrawKey, knapweedpulley.CodeInvalidKey},
		{"a route that is gone", removeRoute, knapweedpulley.CodeRouteNotFound},
		{"a route that leads to another service", moveRoute, knapweedpulley.CodeNoEndpoint},
	}
	waits := []struct {
		name  string
		setUp func(*testing.T, *accountedDeployment, *gateway.Gateway)
	}{
		{"in advance of the tokens", accrue},
		{"in the queue for the tokens", queueFor},
	}
	for _, w := range waits {
		for _, c := range changes {
			inBubble(c.name+", "+w.name, t, func(t *testing.T) {
				var began time.Time
				p := waitingPlace{changeAfter: changeAfter, prepare: func() deployment {
					d, _ := streamDeployment(scriptedAnswer{events: []string{"1"}})
					return d
				}}
				p.setUp = func(t *testing.T, d *accountedDeployment, g *gateway.Gateway) {
					t.Helper()
					w.setUp(t, d, g)
					began = time.Now()
				}
				o := p.serve(t, c.change, 1000)
				is.New(t).Equal(time.Since(began), changeAfter)
				o.assertRefused(t, p, c.code)
				o.assertSeen(t, 0, nil, nil)
				is.New(t).Equal(o.charged[otherCustomer], o.charged[testCustomer])
			})
		}
	}
}

func TestCallThatWaitedForItsRateIsAdmittedAnew(t *testing.T) {
	prepare := func() deployment {
		d, _ := streamDeployment(scriptedAnswer{events: []string{"1"}})
		return d
	}
	p := waitingPlace{prepare: prepare, setUp: accrue, changeAfter: 50 * time.Millisecond, after: 1}
	inBubble("a key that another customer holds now", t, func(t *testing.T) {
		o := p.serve(t, passKeyOn, 1000)
		assertAnswered(t, o.answer, o.err, "1 ")
		o.assertSeen(t, 1, []knapweedpulley.CustomerID{otherCustomer}, []int{firstPriority})
		// Both accrue for as long.
		is.New(t).Equal(o.charged[otherCustomer]-o.charged[testCustomer], price)
	})
	inBubble("a key that is gone", t, func(t *testing.T) {
		o := p.serve(t, withdrawKey, 1000)
		o.assertRefused(t, p, knapweedpulley.CodeInvalidKey)
		is.New(t).Equal(o.charged[otherCustomer], o.charged[testCustomer])
	})
	inBubble("a key that is gone when the next customer's rate has come", t, func(t *testing.T) {
		again := p
		again.prepare = withFleet(prepare)
		again.setUp = func(t *testing.T, d *accountedDeployment, g *gateway.Gateway) {
			d.allowances.Take(otherCustomer, 500, 0)
			d.allowances.Configure([]knapweedpulley.Contract{
				{Customer: testCustomer, Rate: 1e-9, Burst: 1e6}, {Customer: otherCustomer, Rate: 1000, Burst: 1000},
			})
			loseEndpoints(t, d, g)
			withdrawn := d.installation()
			withdrawn.Version = 3
			withdrawKey(&withdrawn)
			time.AfterFunc(90*time.Millisecond, func() {
				putObject(t, d.objects, knapweedpulley.KindInstallation, knapweedpulley.MainInstallation, withdrawn)
			})
		}
		o := again.serve(t, passKeyOn, 1000)
		o.assertRefused(t, again, knapweedpulley.CodeInvalidKey)
		is.New(t).Equal(len(o.attempts), 0)
		is.New(t).Equal(o.charged[testCustomer], knapweedpulley.Tokens(0))
	})
}

func TestSilentCallStaysWhenAnotherCustomerHoldsItsKey(t *testing.T) {
	inBubble("a begun stream", t, func(t *testing.T) {
		var logs logBuffer
		p := waitingPlace{
			changeAfter: 100 * time.Millisecond, before: 1, ran: true, begun: true,
			prepare: func() deployment {
				d, _ := streamDeployment(scriptedAnswer{silence: silentPause, silentAfter: 1, events: []string{"1", "2"}})
				d.logs = &logs
				return d
			},
		}
		o := p.serve(t, passKeyOn, 1e6)
		assertAnswered(t, o.answer, o.err, "1 2 ")
		o.assertSeen(t, 1, []knapweedpulley.CustomerID{testCustomer}, []int{firstPriority})
		o.assertCharged(t, price, 0)
		assertLogged(t, &logs, "", "configuration")
	})
}

func TestBegunStreamStaysWhenItsRouteNoLongerResumes(t *testing.T) {
	inBubble("while its endpoint is silent", t, func(t *testing.T) {
		p := waitingPlace{
			changeAfter: 100 * time.Millisecond,
			prepare: func() deployment {
				d, _ := streamDeployment(scriptedAnswer{silence: silentPause, silentAfter: 1, events: []string{"1", "2"}})
				return d
			},
		}
		o := p.serve(t, func(i *knapweedpulley.Installation) { i.Routes[0].Retry = knapweedpulley.Idempotent }, 1e6)
		assertAnswered(t, o.answer, o.err, "1 2 ")
		o.assertSeen(t, 1, []knapweedpulley.CustomerID{testCustomer}, []int{firstPriority})
	})
}

func TestWaitingCallKeepsItsDeadlineAndFraming(t *testing.T) {
	places := waitingPlaces()
	for _, p := range places {
		inBubble("a shorter timeout, "+p.name, t, func(t *testing.T) {
			o := p.serve(t, func(i *knapweedpulley.Installation) { i.Routes[0].Timeout = time.Millisecond }, 1e6)
			assertAnswered(t, o.answer, o.err, p.answer)
		})
		if p.begun {
			inBubble("another framing, "+p.name, t, func(t *testing.T) {
				o := p.serve(t, func(i *knapweedpulley.Installation) { i.Routes[0].Stream = false }, 1e6)
				assertAnswered(t, o.answer, o.err, p.answer)
			})
		}
	}
}

func TestMovedCallWithoutKeyGoesOnWhenItsRouteNeedsOne(t *testing.T) {
	inBubble("as it was admitted", t, func(t *testing.T) {
		d, x := streamDeployment(silentStream, fullAnswer, restOfStream)
		a := d.withAccounts(1e6)
		a.route.Public = true
		answer, err := a.serveBeside(t, 1010*time.Millisecond, func(i *knapweedpulley.Installation) { i.Routes[0].Public = false })
		assertAnswered(t, answer, err, "1 2 3 ")
		is.New(t).Equal(len(x.attempts()), 3)
		is.New(t).Equal(a.recorder.seen[2].Customer, knapweedpulley.None[knapweedpulley.CustomerID]())
	})
}

func TestChargeIsReturnedToCustomerForWhichCallDidNotRun(t *testing.T) {
	inBubble("though it ran for another one", t, func(t *testing.T) {
		p := waitingPlace{
			changeAfter: 50 * time.Millisecond, before: 1, ran: true,
			prepare: func() deployment {
				d, _ := wholeDeployment(scriptedAnswer{silence: 100 * time.Millisecond, status: http.StatusInternalServerError}, fullAnswer)
				return d
			},
		}
		o := p.serve(t, passKeyOn, 1e6)
		o.assertRefused(t, p, knapweedpulley.CodeOverloaded)
		o.assertCharged(t, price, 0)
	})
}

func TestMovedCallWaitsAsLongAsItWasAdmittedTo(t *testing.T) {
	inBubble("while its endpoints want no requests", t, func(t *testing.T) {
		held := fullAnswer
		held.retryAfter = 300 * time.Millisecond
		d, x := streamDeployment(silentStream, held, held, restOfStream)
		answer, err := d.serveBeside(t, 1010*time.Millisecond, func(i *knapweedpulley.Installation) {
			i.Routes[0].EventTimeout = time.Millisecond
		})
		assertAnswered(t, answer, err, "1 2 3 ")
		is.New(t).Equal(len(x.attempts()), 4)
	})
}

func TestCallThatMayHaveRunFollowsItsChangedRoute(t *testing.T) {
	runOnce := func(i *knapweedpulley.Installation) { i.Routes[0].Retry = knapweedpulley.AtMostOnce }
	for _, p := range placesAfterRun() {
		inBubble("a route whose requests may run once ends it, "+p.name, t, func(t *testing.T) {
			o := p.serve(t, runOnce, 1e6)
			o.assertRefused(t, p, knapweedpulley.CodeEngineFailed)
			is.New(t).Equal(len(o.attempts), p.before)
		})
	}
	for _, p := range placesBeforeRun() {
		inBubble("a route whose requests may run once lets it run, "+p.name, t, func(t *testing.T) {
			o := p.serve(t, runOnce, 1e6)
			assertAnswered(t, o.answer, o.err, p.answer)
		})
	}
	allowOneRun := func(i *knapweedpulley.Installation) { i.Routes[0].MaxAttempts = 1 }
	places := placesAfterRun()
	for _, p := range places[:2] {
		inBubble("fewer attempts end it, "+p.name, t, func(t *testing.T) {
			o := p.serve(t, allowOneRun, 1e6)
			o.assertRefused(t, p, knapweedpulley.CodeEngineFailed)
			is.New(t).Equal(len(o.attempts), 1)
		})
	}
	for _, p := range places[2:] {
		inBubble("fewer attempts leave it, "+p.name, t, func(t *testing.T) {
			o := p.serve(t, allowOneRun, 1e6)
			assertAnswered(t, o.answer, o.err, p.answer)
		})
	}
	inBubble("a silent call stays when its requests may run once", t, func(t *testing.T) {
		d, x := streamDeployment(scriptedAnswer{silence: silentPause, silentAfter: 1, events: []string{"1", "2"}})
		answer, err := d.serveBeside(t, 100*time.Millisecond, runOnce)
		assertAnswered(t, answer, err, "1 2 ")
		is.New(t).Equal(len(x.attempts()), 1)
	})
}
