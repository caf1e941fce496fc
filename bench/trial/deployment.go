package trial

import (
	"fmt"
	"slices"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/standin/engine"
	"github.com/knapweedpulley/knapweedpulley/zone"
)

const (
	// engineMemory and engineSlots are the memory and the request slots of each engine.
	engineMemory = 80 * knapweedpulley.GiB
	engineSlots  = 16
	// maxReplicas is the number of endpoints that may hold a model.
	maxReplicas = 3
	// entryCount is the number of entry processes.
	entryCount = 3
	// adapterSize is the memory that an adapter occupies.
	adapterSize = 200 * knapweedpulley.MiB
)

// Deployment describes the size of a user's installation.
type Deployment struct {
	Name     string
	Zones    int
	Servers  int
	Models   int
	Adapters int
	// RoundTrip is the round-trip time between two zones.
	RoundTrip time.Duration
}

// Iturralde returns the deployment of the gas company's installation.
func Iturralde() Deployment {
	return Deployment{
		Name: "iturralde", Zones: 4, Servers: 9, Models: 50, Adapters: 40, RoundTrip: 500 * time.Microsecond,
	}
}

// Cooperative returns the deployment of the guides' co-operative's installation.
func Cooperative() Deployment {
	return Deployment{
		Name: "cooperative", Zones: 3, Servers: 18, Models: 100, Adapters: 100, RoundTrip: 1500 * time.Microsecond,
	}
}

func (d Deployment) zone(i int) knapweedpulley.ZoneID {
	return knapweedpulley.ZoneID(fmt.Sprintf("zone-%d", i%d.Zones))
}

func (d Deployment) distances() *zone.Distances {
	var list []zone.Distance
	for i := range d.Zones {
		for j := range i {
			list = append(list, zone.Distance{From: d.zone(i), To: d.zone(j), RoundTrip: d.RoundTrip})
		}
	}
	return zone.NewDistances(list)
}

// modelSizes are the sizes that are assigned to the models in rotation.
var modelSizes = []knapweedpulley.Bytes{
	8 * knapweedpulley.GiB, 14 * knapweedpulley.GiB, 4 * knapweedpulley.GiB, 24 * knapweedpulley.GiB,
	14 * knapweedpulley.GiB, 8 * knapweedpulley.GiB, 16 * knapweedpulley.GiB, 40 * knapweedpulley.GiB,
}

// LargestFromDisk returns the time to load the largest model from a disk.
func LargestFromDisk() time.Duration {
	speed := engine.DefaultSettings().DiskBandwidth
	return time.Duration(float64(slices.Max(modelSizes)) / float64(speed) * float64(time.Second))
}

func modelName(i int) knapweedpulley.ModelID {
	return knapweedpulley.ModelID(fmt.Sprintf("model-%03d", i))
}

// catalog implements knapweedpulley.CheckpointSource and
// knapweedpulley.DesiredModelSource.
type catalog struct {
	desired []knapweedpulley.DesiredModel
	sizes   map[knapweedpulley.ModelID]knapweedpulley.Bytes
}

func newCatalog(d Deployment, replicas int) *catalog {
	c := &catalog{sizes: make(map[knapweedpulley.ModelID]knapweedpulley.Bytes)}
	for i := range d.Models {
		size := modelSizes[i%len(modelSizes)]
		c.sizes[modelName(i)] = size
		c.desired = append(c.desired, knapweedpulley.DesiredModel{
			Model: modelName(i), Replicas: knapweedpulley.Replicas(replicas), Size: size,
		})
	}
	return c
}

// Checkpoint implements knapweedpulley.CheckpointSource.
func (c *catalog) Checkpoint(
	model knapweedpulley.ModelID, adapter knapweedpulley.Option[knapweedpulley.AdapterID],
) (knapweedpulley.Checkpoint, bool) {
	if id, ok := adapter.Get(); ok {
		return knapweedpulley.Checkpoint{Model: model, Adapter: id, Size: adapterSize}, true
	}
	size, ok := c.sizes[model]
	return knapweedpulley.Checkpoint{Model: model, Size: size}, ok
}

// DesiredModels implements knapweedpulley.DesiredModelSource.
func (c *catalog) DesiredModels() []knapweedpulley.DesiredModel {
	return c.desired
}
