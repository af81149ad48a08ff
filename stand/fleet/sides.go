package fleet

import (
	"fmt"
	"slices"

	"snipeshed/conf"
)

// Sides is a Fleet of two sides that a partition separates. Runners with even numbers are on side 0. Each side has its
// own source address, by which the links tell the sides apart.
type Sides struct {
	*Fleet

	// Of is the side of each instance.
	Of []int
}

const sides = 2

func sourceOf(side int) string { return fmt.Sprintf("127.0.0.%d", 2+side%sides) }

// StartSides starts a Fleet WithLinks whose sides are in the given regions, with an instance for each element of of. It
// must be closed also after an error, unless it is nil.
func StartSides(regions [sides]string, of []int, opts ...Option) (*Sides, error) {
	f, err := New(append(slices.Clone(opts), WithLinks(), WithSize(2*sides, 0, len(of)))...)
	if err != nil {
		return nil, err
	}
	s := &Sides{Fleet: f, Of: of}
	if err := f.AddEndpoints(); err != nil {
		return s, err
	}
	for _, side := range of {
		_, err := f.AddNode(func(s *conf.Settings) {
			s.Region, s.FailureDomain, s.SourceAddress = regions[side], string(Domains[side]), sourceOf(side)
		})
		if err != nil {
			return s, err
		}
	}
	ticket := f.Ticket()
	for i, item := range ticket.GetItems()[len(ticket.GetItems())-len(f.Runners):] {
		e := item.GetEndpoint()
		e.Region, e.FailureDomain = regions[i%sides], string(Domains[i%sides])
	}
	return s, f.Configure(ticket)
}

// Side returns the instances of a side.
func (s *Sides) Side(side int) (out []*Node) {
	for i, n := range s.Nodes {
		if s.Of[i] == side {
			out = append(out, n)
		}
	}
	return out
}

// Partition cuts all links between the sides, and those of side 1 to the store.
func (s *Sides) Partition() {
	for i, l := range s.RunnerLinks {
		l.Partition(sourceOf(i + 1))
	}
	for i, n := range s.Nodes {
		n.PeerLink.Partition(sourceOf(s.Of[i] + 1))
		if s.Of[i] == 1 {
			n.PlatformLink.Partition()
		}
	}
}

// Heal ends the partition. It resets what was open in it: a push that the link held back would bring the news at once,
// which after a partition of minutes no real connection does.
func (s *Sides) Heal() error {
	links := slices.Clone(s.RunnerLinks)
	for _, n := range s.Nodes {
		links = append(links, n.PeerLink, n.PlatformLink)
	}
	for _, l := range links {
		l.Cut()
		if err := l.Restore(); err != nil {
			return err
		}
	}
	return nil
}
