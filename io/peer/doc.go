// Package peer carries calls as streams between the entry and the owner of a pool.
//
// Twirp serves the unary messages; it has no streams, so calls go over plain net/http.
package peer
