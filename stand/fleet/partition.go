package fleet

import (
	"fmt"
	"slices"

	"snipeshed/conf"
)

// PartitionedFleet is a Fleet that a simulated network partition can split into sides 0 and 1. Model runners with an
// even index are on side 0. The instances of each side connect from a source address of their own, by which the links
// recognize the side.
type PartitionedFleet struct {
	*Fleet

	// SideOf holds the side of each instance, in the order of Nodes.
	SideOf []int
}

const sideCount = 2

func sourceAddress(side int) string { return fmt.Sprintf("127.0.0.%d", 2+side%sideCount) }

// StartPartitionedFleet starts a Fleet with links. Side i of the fleet is in regions[i], and sides holds the side of each
// instance to add. The caller must close a non-nil fleet even if there is an error.
func StartPartitionedFleet(regions [sideCount]string, sides []int, opts ...Option) (*PartitionedFleet, error) {
	f, err := New(append(slices.Clone(opts), WithLinks(), WithSize(2*sideCount, 0, len(sides)))...)
	if err != nil {
		return nil, err
	}
	s := &PartitionedFleet{Fleet: f, SideOf: sides}
	if err := f.AddEndpoints(); err != nil {
		return s, err
	}
	for _, side := range sides {
		_, err := f.AddNode(func(s *conf.Settings) {
			s.Region, s.FailureDomain, s.SourceAddress = regions[side], string(Domains[side]), sourceAddress(side)
		})
		if err != nil {
			return s, err
		}
	}
	ticket := f.Ticket()
	for i, item := range ticket.GetItems()[len(ticket.GetItems())-len(f.Runners):] {
		e := item.GetEndpoint()
		e.Region, e.FailureDomain = regions[i%sideCount], string(Domains[i%sideCount])
	}
	return s, f.Configure(ticket)
}

// NodesOnSide returns the instances of a side.
func (s *PartitionedFleet) NodesOnSide(side int) (out []*Node) {
	for i, n := range s.Nodes {
		if s.SideOf[i] == side {
			out = append(out, n)
		}
	}
	return out
}

// Partition blocks the traffic between the sides, and between side 1 and the platform, which holds the store.
func (s *PartitionedFleet) Partition() {
	for i, l := range s.RunnerLinks {
		l.Partition(sourceAddress(i + 1))
	}
	for i, n := range s.Nodes {
		n.PeerLink.Partition(sourceAddress(s.SideOf[i] + 1))
		if s.SideOf[i] == 1 {
			n.PlatformLink.Partition()
		}
	}
}

// Heal ends the partition and resets the connections that were open during it. Without the reset, a link would deliver
// the pushes that it held back as soon as it is restored, which no real connection does after minutes of partition.
func (s *PartitionedFleet) Heal() error {
	links := slices.Clone(s.RunnerLinks)
	for _, n := range s.Nodes {
		links = append(links, n.PeerLink, n.PlatformLink)
	}
	for _, l := range links {
		l.ResetConnections()
		if err := l.Restore(); err != nil {
			return err
		}
	}
	return nil
}
