package pulse

import (
	"snipeshed/core"
	"snipeshed/core/evac"
	"snipeshed/wire"
)

// encodeEvacuations adds what this instance knows of the evacuated failure domains to a full datagram.
func encodeEvacuations(d *wire.Pulse, s evac.State) {
	d.EvacuatedRevision, d.EvacuatedEra = uint64(s.Present.Revision.Number), uint64(s.Present.Revision.Era)
	d.Evacuated = encodeDomains(s.Present.Domains)
	if s.EarlierLeft <= 0 {
		return
	}
	out := &wire.EarlierEvacuations{LeftMs: encodeAge(s.EarlierLeft)}
	for _, set := range s.Earlier {
		out.Sets = append(out.Sets, &wire.EvacuatedDomains{
			Era: uint64(set.Revision.Era), Revision: uint64(set.Revision.Number), Domains: encodeDomains(set.Domains),
		})
	}
	for _, e := range s.Ended {
		out.Ended = append(out.Ended, &wire.EndedEvacuation{Domain: string(e.Domain), Era: uint64(e.Era)})
	}
	d.EarlierEvacuations = out
}

// decodeEvacuations returns what the sender of a full datagram knows of the evacuated failure domains.
func decodeEvacuations(d *wire.Pulse) evac.State {
	earlier := d.GetEarlierEvacuations()
	out := evac.State{
		Present:     decodeSet(d.GetEvacuatedEra(), d.GetEvacuatedRevision(), d.GetEvacuated()),
		EarlierLeft: decodeAge(earlier.GetLeftMs()),
	}
	for _, set := range earlier.GetSets() {
		out.Earlier = append(out.Earlier, decodeSet(set.GetEra(), set.GetRevision(), set.GetDomains()))
	}
	for _, e := range earlier.GetEnded() {
		out.Ended = append(out.Ended, evac.Ending{Domain: core.FailureDomain(e.GetDomain()), Era: core.Era(e.GetEra())})
	}
	return out
}

func decodeSet(era, revision uint64, domains []string) evac.Set {
	out := evac.Set{Revision: core.Revision{Era: core.Era(era), Number: core.Version(revision)}}
	for _, d := range domains {
		out.Domains = append(out.Domains, core.FailureDomain(d))
	}
	return out
}

func encodeDomains(domains []core.FailureDomain) []string {
	out := make([]string, len(domains))
	for i, d := range domains {
		out[i] = string(d)
	}
	return out
}
