package sharder

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/marshaler"
	"tarragonhead.example/tarragonhead/internal/storeclient"
)

const (
	// coresPerWorker and linkPerWorker are what an owner needs for each worker of its
	// shards at the worst load: cores, and bytes a second in each direction. Over 5 s on
	// days with faults, owners of up to 80 workers took at most 0.0032 cores for each,
	// and those of 176 at most 0.0015. The rest is a margin that was not
	// measured; with it 490 workers make three shards, which served most in trials.
	coresPerWorker = 0.0045
	linkPerWorker  = 10_000
	// instancesPrefix begins the keys of the instances' records. Only the first
	// decision on the number of shards reads them, so their lease is not renewed.
	instancesPrefix = "th/instance/"
	instanceTTL     = 20 * time.Second
)

// Instance describes what a daemon can use.
type Instance struct {
	Name string `cbor:"-"`
	// Cores is the processor limit in cores, and LinkRate the rate of the link in
	// bytes a second; zero for unlimited.
	Cores    float64 `cbor:"cores"`
	LinkRate float64 `cbor:"link"`
}

// Workers returns the number of workers that the instance can carry as an owner.
func (i Instance) Workers() float64 {
	n := math.Inf(1)
	if i.Cores > 0 {
		n = min(n, i.Cores/coresPerWorker)
	}
	if i.LinkRate > 0 {
		n = min(n, i.LinkRate/linkPerWorker)
	}
	return n
}

// sizeOf returns the number of workers of the larger ones of n shards. Workers are spread
// by their ids, so that the standard deviation of the sizes is the square root of their
// mean.
func sizeOf(workers, n int) float64 {
	mean := float64(workers) / float64(n)
	if n == 1 {
		return mean
	}
	return mean + math.Sqrt(mean)
}

// Count returns the number of shards for a number of workers: as few as the instances
// can carry, since a wide job needs a large shard. If they can't carry all workers, each
// instance gets a part.
func Count(workers int, instances []Instance) int {
	least := min(maxShards, max(1, (workers+workersPerShard-1)/workersPerShard))
	for n := least; n <= maxShards; n++ {
		size := max(1, sizeOf(workers, n))
		owners := 0.0
		for _, i := range instances {
			owners += math.Floor(i.Workers() / size)
		}
		if owners >= float64(n) {
			return n
		}
	}
	return min(maxShards, max(least, len(instances)))
}

// announce stores the record of this instance for the decision on the number of shards.
func (s *Sharder) announce(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := marshaler.Marshal(s.self)
	if err != nil {
		return errors.Wrap(err, "encode instance record")
	}
	lease, err := s.store.Grant(bounded, instanceTTL)
	if err != nil {
		return err
	}
	_, err = s.store.Transact(bounded, storeclient.Transaction{
		Writes: []storeclient.Write{{Key: instancesPrefix + s.self.Name, Value: value, Lease: lease}},
	})
	return err
}

// instances returns the instances that have announced themselves. A record that can't
// be decoded is reported and left out.
func (s *Sharder) instances(ctx context.Context) ([]Instance, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, _, err := s.store.Range(bounded, instancesPrefix)
	if err != nil {
		return nil, err
	}
	var all []Instance
	for _, e := range list {
		var i Instance
		if err := marshaler.Unmarshal(e.Value, &i); err != nil {
			s.reportFailure(errors.Wrap(err, "decode instance record"))
			continue
		}
		i.Name = e.Key[len(instancesPrefix):]
		all = append(all, i)
	}
	return all, nil
}
