package revs

import "snipeshed/core"

// At returns a revision of a store without eras.
func At(n core.Version) core.Revision { return core.Revision{Number: n} }

// In returns a revision in the era to which a store has given a number.
func In(era uint64, n core.Version) core.Revision {
	return core.Revision{Era: core.NewEra(era), Number: n}
}
