// Package apprun is a test double of an application server. It accepts any HTTP request and counts the executions by Idempotency-Key.
//
// A call that runs returns 200 with an Answer. A refused call returns 503 and
// does not run. A call whose Fencing-Number is lower than an earlier one with
// the same key returns 409 with {"number":highest} and does not run.
package apprun
