// Package dial sends requests to endpoints over kept connections and says exactly what may have reached them.
//
// The client of net/http repeats some requests by itself and does not tell whether any byte was written, which
// at-most-once execution depends on; encoding and decoding are those of net/http.
package dial
