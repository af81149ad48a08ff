// Package head checks the heads of HTTP answers.
//
// The client of net/http accepts heads that HTTP does not allow. What such a head says of the body is not to be trusted, so an answer
// with one counts as no answer: the endpoint has failed, and may have run the request.
package head
