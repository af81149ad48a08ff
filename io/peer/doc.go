// Package peer forwards calls from the entry of one instance to the pool owner on another and streams the answers back.
//
// Unary messages between instances use Twirp. Twirp has no streams, so calls use plain net/http.
package peer
