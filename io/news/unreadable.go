package news

import "github.com/cespare/xxhash/v2"

// unreadableEntries remembers hashes of the entries that name no endpoint, by name, so that each is logged only once.
type unreadableEntries map[string]uint64

// add adds an entry and reports whether it is not the one that was added last under this name.
func (u unreadableEntries) add(name string, raw []byte) bool {
	h := xxhash.Sum64(raw)
	old, ok := u[name]
	u[name] = h
	return !ok || old != h
}

// retain drops the entries that are not in a list.
func (u unreadableEntries) retain(list map[string][]byte) {
	for name := range u {
		if _, ok := list[name]; !ok {
			delete(u, name)
		}
	}
}
