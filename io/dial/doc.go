// Package dial is an HTTP/1.1 client for endpoints that reuses connections and reports how much of a failed request may
// have reached the endpoint.
//
// At-most-once execution depends on whether any byte of a request was written. The client of net/http does not
// report that, and it retries some requests by itself. Requests and responses are still encoded and decoded by net/http.
package dial
