package configuration_test

import (
	"net"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/configuration"
	"github.com/knapweedpulley/knapweedpulley/customer"
	"github.com/knapweedpulley/knapweedpulley/link"
	"github.com/knapweedpulley/knapweedpulley/machine"
	"github.com/knapweedpulley/knapweedpulley/model"
	"github.com/knapweedpulley/knapweedpulley/store/fake"
)

// peers is a fixed list of members.
type peers []knapweedpulley.Member

func (p peers) Peers() []knapweedpulley.Member {
	return p
}

// TestOverTCP replicates a permit over TCP to an entry process that can reach only its peer and not
// the store.
func TestOverTCP(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	connections, closeConnections := link.NewConnections(nil)
	defer closeConnections()
	options := configuration.Options{
		Clock: machine.NewClock(), Objects: fake.New(), Link: link.NewConfigurationClient(connections),
		Collections: collections(model.NewPermits()), Directory: customer.NewDirectory(),
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	}
	first := knapweedpulley.Member{Entry: "entry-1", Zone: "zone-1", Address: listener.Addr().String()}
	second := knapweedpulley.Member{Entry: "entry-2", Zone: "zone-2", Address: "127.0.0.1:1"}
	options.Self, options.Peers = first, peers{first}
	source, stopSource := configuration.New(options)
	defer stopSource()
	<-source.Ready()
	_, stopServer, err := link.Serve(listener, nil, func(r grpc.ServiceRegistrar) {
		link.RegisterConfiguration(r, source)
	})
	is.NoErr(err)
	defer stopServer()

	objects := options.Objects
	down := fake.New()
	down.SetDown(true)
	options.Self, options.Peers, options.Objects = second, peers{first, second}, down
	permits := model.NewPermits()
	options.Collections = collections(permits)
	subscriber, stopSubscriber := configuration.New(options)
	defer stopSubscriber()
	<-subscriber.Ready()
	revision, err := objects.Put(t.Context(), knapweedpulley.KindPermits, string(modelID), []byte(`{"replicas": 3}`), 0)
	is.NoErr(err)
	_, err = subscriber.Await(t.Context(), knapweedpulley.KindPermits, revision)
	is.NoErr(err)
	p, ok := permits.Permit(modelID)
	is.True(ok)
	is.Equal(p.Replicas, knapweedpulley.Replicas(3))
	report, err := options.Link.Await(t.Context(), first, knapweedpulley.KindPermits, revision)
	is.NoErr(err)
	is.Equal(report.Entry, first.Entry)
	is.Equal(len(report.States), 3)
}
